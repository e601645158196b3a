#pragma once

#include "base/time.h"
#include "membership/member.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// What this instance knows about another member beyond the shared description.
struct member_entry {
    member info;
    std::string summary;           // opaque text of the member's last direct message
    monotonic_time last_contact{}; // last reply or request from it, also through an indirect probe
    monotonic_time state_changed_at{};   // last change of state
    monotonic_time suspicion_deadline{}; // end of a suspicion
    monotonic_time last_flap{};          // last return from suspect or dead
    unsigned flap_count = 0;             // returns within one incarnation
    unsigned failed_probes = 0;          // consecutive failed probes by this instance
    bool has_contact = false;
};

// A change of one member, as subscribers see it.
struct member_change {
    const member& now;
    std::optional<member_state> before; // none for a new member
    bool restarted = false;             // the incarnation is a later one
};

// The members known to one instance and the rules by which updates are merged. Reads no clock:
// callers pass the time.
class member_table {
public:
    // Bounds the memory that wrong or hostile updates can take.
    static constexpr std::size_t max_members = 2048;

    explicit member_table(member self);

    const member& self() const { return self_; }
    member& self() { return self_; }

    // Merges an update about another member. Returns the change, or nothing if the update is not
    // newer. Updates about this instance are not merged here.
    std::optional<member_change> apply(const member& update, monotonic_time now);

    member_entry* find(std::string_view name);
    // The member of that name, whatever its state, or null. This instance itself is not in the
    // table.
    const member_entry* find(std::string_view name) const;
    // The member only if its known incarnation is this one. Null means that the process with that
    // incarnation is not known, or has been replaced.
    const member_entry* find(std::string_view name, std::uint64_t incarnation) const;

    // All other members in order of name, of any state.
    const std::map<std::string, member_entry, std::less<>>& others() const { return others_; }
    std::map<std::string, member_entry, std::less<>>& others() { return others_; }

    // Live members (alive or suspect), this instance included, in order of name. Includes members
    // of an unreachable data centre.
    std::vector<const member*> live_members() const;
    std::size_t live_count() const;

    // This instance's share of the weight of all live members that are not leaving, in [0, 1].
    // Members of an unreachable data centre count, so that the shares of both sides of a
    // partition never sum to more than one. Zero once this instance is leaving.
    double capacity_share() const;

    // Sum of the shares of the members whose names sort before this instance's. With it, instances
    // that see the same members divide the capacity without overlap.
    double capacity_begin() const;

    // Number of live, reachable members that are not leaving and whose name sorts before this
    // instance's.
    std::size_t rank() const;

    // False while the data centre is partitioned from this instance.
    bool is_reachable(std::string_view data_centre) const;
    void set_reachable(std::string_view data_centre, bool reachable);

private:
    static bool accepts_work(const member& it) { return is_live(it.state) && !it.leaving; }

    // Weight of the other members whose names sort before `end`, or of all if it is null.
    double weight_of_others(const std::string* end) const;

    member self_;
    std::map<std::string, member_entry, std::less<>> others_;
    std::set<std::string, std::less<>> unreachable_;
};

} // namespace cactusloom
