#pragma once

#include "base/result.h"
#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Updates in one message. Bounds the size of a message for any number of members.
constexpr std::size_t max_updates_per_message = 8;
// Longest request or reply that is parsed, in bytes.
constexpr std::size_t max_membership_message_bytes = 16384;
// Longest summary in a message.
constexpr std::size_t max_summary_bytes = 64;

// Part of every request and every reply.
struct gossip_payload {
    member from;
    std::string summary; // opaque, for example the version of the configuration
    std::vector<member> updates;
};

// A call of `membership.ping` or `membership.ping_request`.
struct membership_request {
    enum class method : std::uint8_t { ping, ping_request };

    std::uint64_t id = 0;
    method call = method::ping;
    gossip_payload gossip;
    std::string target;         // name of the member that is pinged, directly or by the receiver
    std::string target_address; // ping_request only
    // ping only: asks for the members whose names sort after this one, in order of name, in place
    // of recent updates. A joining instance pages through the table this way.
    std::optional<std::string> after;
};

struct membership_reply {
    std::uint64_t id = 0;
    gossip_payload gossip;
    bool reached = false;         // ping_request only
    std::optional<member> target; // ping_request only: the target's own entry
};

std::string encode_request(const membership_request& request);
std::string encode_reply(const membership_reply& reply);
// A JSON-RPC error reply. Code -32600 is an invalid request, -32601 an unknown method.
std::string encode_rpc_error(std::uint64_t id, int code, std::string_view message);

// Error `invalid_argument` names the malformed field; `not_found` is an unknown method.
result<membership_request> decode_request(std::string_view text);
result<membership_reply> decode_reply(std::string_view text);

} // namespace cactusloom
