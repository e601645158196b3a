#pragma once

#include <cstdint>
#include <string>

namespace cactusloom {

enum class member_state : std::uint8_t {
    alive,
    suspect, // probes fail, removal is pending; still counted as live
    dead,
    left, // said goodbye; final for its incarnation
};

const char* to_string(member_state state);

// An entry instance as members describe it to each other.
struct member {
    std::string name;
    std::string data_centre;
    std::string address; // "ip:port"
    // Number of the process. Fixed for its life, greater after every restart, part of each
    // submission id it issues.
    std::uint64_t incarnation = 0;
    // Raised by the member itself to refute a suspicion or to change its entry. It is separate
    // from the incarnation, because a refutation must not invalidate issued submission ids.
    std::uint32_t refutation = 0;
    member_state state = member_state::alive;
    bool leaving = false;
    double weight = 1.0; // share of capacity relative to other members

    friend bool operator==(const member&, const member&) = default;
};

// True if `update` is newer knowledge than `known` about the same name. A later incarnation wins,
// then `left`, then the higher refutation, then the graver state.
bool supersedes(const member& update, const member& known);

// True for members that take part: alive or suspect.
constexpr bool is_live(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace cactusloom
