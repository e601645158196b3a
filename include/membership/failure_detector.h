#pragma once

#include "base/random.h"
#include "base/timer_service.h"
#include "membership/member_table.h"
#include "membership/membership_codec.h"
#include "membership/partition_detector.h"
#include "membership/peer_transport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

struct failure_detector_settings {
    duration period = std::chrono::seconds{1};
    // A direct and an indirect probe fit into one period.
    duration ping_timeout = std::chrono::milliseconds{300};
    duration indirect_timeout = std::chrono::milliseconds{650};
    unsigned indirect_peers = 3;
    unsigned suspicion_periods = 4;
    // Dead and departed members are kept for this long, so that late gossip does not resurrect them
    // and so that the sides of a healed partition find each other again.
    duration dead_retention = std::chrono::minutes{10};
    // Members of a data centre that stays partitioned are declared dead after this time.
    duration partition_retention = std::chrono::hours{1};
    // A member's flap count is reset after this long without a flap.
    duration flap_reset_interval = std::chrono::minutes{5};
    duration seed_retry_interval = std::chrono::seconds{10};
};

// An instance from the platform's list, used as a contact address for joining. What members gossip
// about themselves takes precedence.
struct seed_peer {
    std::string name;
    std::string data_centre;
    std::string address;
    bool leaving = false;
};

// Traffic of this instance, requests and replies, without transport framing.
struct membership_traffic {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t rejected = 0; // undecodable messages and replies with a wrong id
};

// SWIM-style failure detector. Pings one member each period, falls back to indirect pings through
// three others, marks a member suspect before declaring it dead, and piggybacks membership changes
// on the same messages.
class failure_detector {
public:
    using reply_callback = std::function<void(std::string)>;
    using change_callback = std::function<void(const member_change&)>;
    using reachability_callback = std::function<void(std::string_view data_centre, bool reachable)>;
    using summary_callback = std::function<void(const member& from, std::string_view summary)>;

    // `self.incarnation` must be greater than that of every earlier process of the same name.
    // Timer service and transport must outlive the detector.
    failure_detector(timer_service& timers, peer_transport& transport, member self,
                     std::uint32_t seed, failure_detector_settings settings = {});
    ~failure_detector();
    failure_detector(const failure_detector&) = delete;
    failure_detector& operator=(const failure_detector&) = delete;

    void start();

    // Replaces the seed peers with the platform's newest list, which may be stale.
    void set_seed_peers(std::vector<seed_peer> seed_peers);

    // Sets the text that every message of this instance carries, at most `max_summary_bytes` bytes.
    void set_summary(std::string summary);

    // Changes this instance's capacity weight.
    void set_weight(double weight);

    // Announces that this instance takes no new work. It stays a live member.
    void announce_leaving();

    // Sends a leave notice to a few members and stops. `done` runs once they replied or timed out.
    void leave(std::function<void()> done);

    // Handles one JSON-RPC request from a peer. `reply` runs once with the reply text; for a ping
    // before handle() returns, for a ping request after the probe of the target.
    void handle(std::string_view request, reply_callback reply);

    const member_table& members() const { return table_; }

    // True once a later incarnation of this instance's name was seen. This process must then take
    // no more work, since others no longer regard it as the owner of the name.
    bool is_superseded() const { return superseded_; }

    // True once the member table has been copied from another member.
    bool has_joined() const { return joined_; }

    void on_change(change_callback fn) { change_callbacks_.push_back(std::move(fn)); }
    void on_reachability_change(reachability_callback fn)
    {
        reachability_callbacks_.push_back(std::move(fn));
    }
    // Runs for every direct message that carries a summary.
    void on_summary(summary_callback fn) { summary_callbacks_.push_back(std::move(fn)); }

    const membership_traffic& traffic() const { return traffic_; }

private:
    struct queued_update {
        std::string name; // the table's current entry is sent, so an update is never stale
        unsigned sent = 0;
    };
    // A probe of one member, first direct, then indirect.
    struct probe {
        std::string name;
        std::uint64_t incarnation = 0;
        unsigned pending_replies = 0;
        bool reached = false;
    };
    // Where an update comes from.
    enum class update_source : std::uint8_t {
        relayed,
        first_hand, // from the member itself, or detected by this instance
        table_copy, // from the table copy made while joining
    };
    using reply_handler = std::function<void(result<membership_reply>)>;

    void tick();
    void extend_after_pause(duration lost);
    void expire_suspicions();
    void remove_expired();
    void probe_next();
    void probe_unconfirmed();
    void probe_suspect_data_centres();
    void probe_seeds();

    void send(std::string_view address, membership_request request, duration limit,
              reply_handler done);
    void ping(std::string_view address, std::string_view name, reply_handler done);
    void probe_member(const std::string& name);
    void probe_indirectly(const std::shared_ptr<probe>& it);
    void finish_probe(const probe& it, bool reached);
    void copy_table(const std::string& address, const std::string& name, const std::string& after);

    void receive(const gossip_payload& gossip, bool is_table_copy);
    void apply(const member& update, update_source from);
    void record_contact(std::string_view name);
    void suspect(member_entry& entry);
    void declare_dead(member_entry& entry);
    void refute(const member& claim);
    void queue_update(std::string_view name);
    gossip_payload make_gossip(std::string_view receiver);
    gossip_payload make_page(std::string_view after) const;
    void add_successor(const member& sender, gossip_payload& gossip) const;
    void notify_change(const member_change& change);
    std::vector<std::string> choose_indirect_probers(const member& target);
    duration suspicion_time(const member_entry& entry) const;
    unsigned tolerated_failures(const member_entry& entry) const;
    unsigned retransmit_limit() const;
    bool was_paused(monotonic_time sent, duration limit) const;

    timer_service& timers_;
    peer_transport& transport_;
    failure_detector_settings settings_;
    member_table table_;
    partition_detector partition_detector_;
    random_engine random_;

    std::vector<queued_update> update_queue_;
    // Names still to be probed in this round, in reverse order.
    std::vector<std::string> probe_round_;
    std::string repeat_cursor_; // table entry that was repeated last
    // Names whose entry at the last sender was older than ours.
    std::vector<std::string> stale_at_sender_;
    std::vector<seed_peer> seed_peers_;
    std::map<std::string, monotonic_time, std::less<>> seed_attempts_;
    std::size_t seed_cursor_ = 0;
    std::string summary_;

    std::vector<change_callback> change_callbacks_;
    std::vector<reachability_callback> reachability_callbacks_;
    std::vector<summary_callback> summary_callbacks_;
    membership_traffic traffic_;

    timer_id tick_timer_ = 0;
    monotonic_time last_tick_{};
    std::uint64_t ticks_ = 0;
    std::uint64_t last_request_ = 0;
    bool joined_ = false;
    bool joining_ = false;
    bool stopped_ = false;
    bool superseded_ = false;
    // Callbacks of the transport hold a weak reference, so a late one does nothing.
    std::shared_ptr<failure_detector*> alive_;
};

} // namespace cactusloom
