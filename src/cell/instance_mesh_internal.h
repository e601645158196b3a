#pragma once

#include "cell/instance_mesh.h"
#include "peer_clock.h"

namespace cactusloom {

// Silence after which a process counts as lost even though its machine answers. Six heartbeats: a
// lost packet is retransmitted within one to two hundred ms.
inline constexpr duration silence_limit = std::chrono::milliseconds{600};
// Additional silence allowed to a process that has announced that it is overloaded.
inline constexpr duration overload_slack = std::chrono::milliseconds{600};
inline constexpr duration link_check_interval = std::chrono::milliseconds{50};
// An instance that cannot become controller pings less often those peers that its jobs do not
// depend on, because a candidate answers every instance of the deployment.
inline constexpr duration slow_heartbeat_interval = std::chrono::milliseconds{500};
// Additional silence allowed on such a link.
inline constexpr duration slow_heartbeat_slack = std::chrono::milliseconds{400};

struct instance_mesh::peer {
    instance_address address;
    std::shared_ptr<frame_link> link;
    std::shared_ptr<frame_link> probe; // second connection, opened while the link is silent
    monotonic_time probed_at;
    monotonic_time probe_answered_at; // zero: not yet
    bool closed = false;              // the link will be replaced at the next check
    bool connection_refused = false;  // no process listened at the last attempt
    bool unreachable = false;         // the last attempt was not answered at all
    bool was_connected = false;
    std::uint64_t link_number = 0; // of `link`, among all that this process has opened
    bool was_alive = false;
    monotonic_time no_contact_since; // zero: alive, or no candidate
    bool lost = false; // out of contact for so long that another candidate replaces it
    monotonic_time opened_at;
    monotonic_time last_pong;
    monotonic_time pinged_at;
    monotonic_time last_message_at;  // when a message other than a ping was sent to it
    monotonic_time unanswered_since; // oldest ping without a reply; zero: none
    peer_clock clock;                // by its replies on this link
    bool has_own_jobs = false;       // it controls jobs of this instance
    std::int64_t incarnation = 0;
    std::uint64_t incarnation_link = 0;  // newest own link when `incarnation` was first seen
    std::uint64_t state_number = 0;      // newest state received from it
    std::uint64_t sent_state_number = 0; // newest own state that was sent on this link
    std::vector<cell_claim> claims;
    bool leaving = false;
    bool overloaded = false;
    bool keeps_cells = false;
    std::int64_t config_version = -1;
};

struct instance_mesh::inbound {
    std::unique_ptr<frame_link> link;
    peer_link from; // empty until the first message
    std::shared_ptr<monotonic_time> renewed_at = std::make_shared<monotonic_time>();
    bool has_dated_messages = true;      // the peer says when it sends them
    std::uint64_t sent_state_number = 0; // newest own state that was sent on this link
};

} // namespace cactusloom
