#pragma once

#include <cstdint>
#include <string>

namespace cactusloom {

enum class member_state : std::uint8_t {
    alive,
    suspect, // probes fail; still counted as live until the suspicion expires
    dead,
    left, // shut down in order; final for its incarnation
};

const char* to_string(member_state state);

// An instance as gossiped between members.
struct member {
    std::string name;
    std::string data_centre;
    std::string address; // "ip:port"
    // Number of the process. Constant while it runs, greater after every restart, and part of each
    // submission id that it issues.
    std::uint64_t incarnation = 0;
    // Raised by the member itself to refute a suspicion or to change its entry. It is separate
    // from the incarnation, because a refutation must not invalidate issued submission ids.
    std::uint32_t refutation = 0;
    member_state state = member_state::alive;
    bool leaving = false;
    double weight = 1.0; // share of capacity relative to other members

    friend bool operator==(const member&, const member&) = default;
};

// True if `update` is newer than `known` for the same name. The later incarnation wins, then
// `left`, then the higher refutation, then the later state in the order of member_state.
bool supersedes(const member& update, const member& known);

// True for members that are alive or suspect.
constexpr bool is_live(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace cactusloom
