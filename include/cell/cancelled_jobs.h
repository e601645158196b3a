#pragma once

#include "base/timer_service.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace cactusloom {

// Ids of cancelled jobs, kept for as long as a submission of them may arrive once more. Beyond
// `max_ids` the oldest are forgotten first.
class cancelled_jobs {
public:
    static constexpr std::size_t max_ids = 50000;
    // Ids that are passed on at most, to an instance that may control workers.
    static constexpr std::size_t max_passed_on = 2000;

    explicit cancelled_jobs(const timer_service& timers) : timers_(timers) {}

    // Adds an id. `acknowledged_here`: its caller has been answered by this instance, which passes
    // the id on whenever a message may have been lost. Returns false if it is known.
    bool add(std::string_view id, bool acknowledged_here);

    bool contains(std::string_view id) const;

    // Newest ids that were acknowledged here.
    std::vector<std::string> acknowledged_here() const;

    // Newest of all ids, for a process that knows none.
    std::vector<std::string> all() const;

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::uint64_t hash = 0;
        monotonic_time added_at;
        std::string id;
        bool acknowledged_here = false;
    };

    std::vector<std::string> newest(bool only_acknowledged_here) const;
    void forget_old();

    const timer_service& timers_;
    std::deque<entry> entries_; // oldest first
    std::unordered_set<std::uint64_t> hashes_;
};

} // namespace cactusloom
