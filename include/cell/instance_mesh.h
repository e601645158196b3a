#pragma once

#include "base/timer_service.h"
#include "cell/cell_election.h"
#include "cell/control_candidates.h"
#include "cell/overload_detector.h"
#include "cell/peer_link.h"
#include "metrics/latency_histogram.h"
#include "net/frame_link.h"
#include "net/poller.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Address and properties of an instance, as announced to the others.
struct instance_address {
    std::string name;
    std::string address; // "ip:port" that it accepts links on
    std::string data_centre;
    double cpu_share = 0;
    std::int64_t incarnation = 0; // start time of its process, Unix ms
};

// Links between the instances of a deployment: liveness, claims and messages. An instance opens a
// link to every candidate for control and answers on links that are opened to it. Liveness is
// judged only from replies on the own link, so that a partition of one direction is detected.
class instance_mesh {
public:
    // Receives a message on the link `from`; `reply` sends on the same link.
    using sender = std::function<void(const Json::Value&)>;
    using message_handler =
        std::function<void(const peer_link& from, const Json::Value& message, sender reply)>;

    instance_mesh(poller& events, timer_service& timers, instance_address self);
    ~instance_mesh();
    instance_mesh(const instance_mesh&) = delete;
    instance_mesh& operator=(const instance_mesh&) = delete;

    // Starts to accept links at an address of this machine; peers may reach it under another one,
    // that of `self`. Error: the address cannot be used.
    result<bool> listen(std::string_view address);

    // Adds instances or updates their addresses. Links to new ones are opened at once or from the
    // next check on.
    void update_instances(const std::vector<instance_address>& instances);

    // Asks the process at an address for the instances that it knows; for a start without the
    // platform's store.
    void discover_from(const std::string& address);

    // Removes an instance that has not been listed for long, unless it still answers.
    void remove_if_dead(std::string_view name);

    // Sets what this instance announces, and sends it at once if it has changed.
    void announce(std::vector<cell_claim> claims, bool leaving, std::int64_t config_version);

    // Announces that this instance keeps its cells until then, even if it becomes overloaded.
    void keep_cells_until(monotonic_time end);

    // Sends on the own link; returns false if that link is not open.
    bool send(std::string_view peer, const Json::Value& message);

    // This instance and all known ones.
    std::vector<instance_view> views() const;

    // This instance and those that it links to.
    std::vector<instance_view> linked_views() const;

    // Instances in contact that hold claims and are not leaving; a job can be sent to these.
    std::vector<instance_view> claim_holders() const;

    // True if this instance may control workers, and so needs their list.
    bool is_candidate() const;
    std::vector<instance_address> known_instances() const;
    const instance_address& self() const { return self_; }
    instance_process own_process() const { return {self_.name, self_.incarnation}; }

    // True if any process of a peer has sent something on its own link to this instance within the
    // silence limit.
    bool has_heard_from(std::string_view peer) const;

    // The same for one process.
    bool has_heard_from(const instance_process& process) const;

    // True if a process that was started later has been heard from under the same name.
    bool is_replaced(const instance_process& process) const;

    // The same, or the process has opened a newer link.
    bool is_replaced(const peer_link& link) const;

    // True if a peer's reply to a ping is overdue. What is sent to it now may arrive late or never.
    bool reply_overdue(std::string_view peer) const;

    // Steady clock of this instance, in ms. Each reply to a ping carries it.
    std::int64_t own_clock_ms() const;

    // Lower estimate of read_until() on a peer's clock, in ms; -1 if it has not replied on the
    // current link. A message with it tells the peer how old what this instance knows is at most.
    std::int64_t read_until_ms(std::string_view peer) const;

    // Replaces the link to a peer, so that no ping on it renews the leases of jobs that this
    // instance has given up there.
    void replace_link(std::string_view peer);

    // True if this instance or a peer that replies on the own link.
    bool is_in_contact(std::string_view instance) const;

    // True if every known candidate for control is in contact, has no process (its machine refuses
    // connections), or cannot be reached. Then no unknown claim of an instance in contact can
    // exist.
    bool knows_state_of_all() const;

    // True if every peer in contact has started at about the same time as this instance or later,
    // that is, all were down. After a partition, some peers on this side are older.
    bool is_cold_start() const;

    // Peers in contact that have a newer configuration than `version`.
    std::vector<std::string> peers_with_newer_config(std::int64_t version) const;

    // How late the event loop has run a periodic timer, since the start.
    const latency_histogram& event_loop_lateness() const { return event_loop_lateness_; }

    // How long input has waited unread, by samples at a fixed interval.
    const latency_histogram& read_lag() const { return read_lag_; }

    // All that callers and peers had sent to this instance by then has been handled. The value
    // behind the pointer is updated.
    const std::shared_ptr<const monotonic_time>& read_until() const { return read_until_; }

    // Returns the peers that control jobs of this instance; pings renew the leases of these jobs,
    // as far as the callers are read.
    std::function<std::set<std::string>()> controllers_of_own_jobs;

    message_handler on_message;
    std::function<void()> on_change;                         // claims or liveness of a peer
    std::function<void()> on_newer_config;                   // a peer has a newer configuration
    std::function<void(const std::string& peer)> on_restart; // a peer has lost its state
    // A new link to the peer is open. What was sent on the old one may have been lost.
    std::function<void(const std::string& peer)> on_reconnect;
    // A peer has opened a new link to this instance. What it sent on the earlier one may have been
    // lost.
    std::function<void(const peer_link& link)> on_peer_reconnect;
    std::function<void()> on_contact_lost; // with any peer
    // This instance has been silent for so long that these peers may have dropped its requests.
    std::function<void(std::span<const std::string> peers)> on_own_silence;

private:
    struct peer;
    struct inbound;
    struct heard_process {
        monotonic_time at;             // of its last message
        std::uint64_t newest_link = 0; // number of its newest link
    };

    void check();
    void discount_pause(duration pause);
    std::vector<std::string> peers_without_recent_ping() const;
    bool update_overload(duration late, duration elapsed);
    bool keeps_cells() const;
    void update_link(peer& peer);
    void probe(peer& peer);
    void reconnect_if_stalled(peer& peer);
    void open(peer& peer);
    void on_pong(peer& peer, const Json::Value& message);
    bool apply_state(peer& peer, const Json::Value& message, std::uint64_t own_link = 0);
    void send_pings();
    void send_state();
    void ping(peer& peer);
    bool is_monitored_closely(const peer& peer) const;
    duration extra_silence_allowed(const peer& peer) const;
    duration silence_limit_of(const peer& peer) const;
    void accept(std::shared_ptr<tcp_stream> stream);
    void on_inbound(inbound& link, std::string_view text);
    bool is_alive(const peer& peer) const;
    duration requester_silence_limit() const;
    void forget_silent_processes();
    bool reply_overdue(const peer& peer) const;
    const std::set<std::string, std::less<>>& candidates() const;
    instance_view own_view() const;
    instance_view view_of(const std::string& name, const peer& peer) const;
    bool update_lost(peer& peer, bool alive);
    Json::Value own_state() const;
    std::string heartbeat_text(const char* kind, std::uint64_t& sent_state_number) const;
    std::string first_ping_text(peer& peer) const;
    std::string with_clock(std::string_view object) const;
    void note_renewal(inbound& link, const Json::Value& message) const;

    poller& events_;
    timer_service& timers_;
    instance_address self_;
    std::unique_ptr<tcp_listener> listener_;
    std::map<std::string, std::unique_ptr<peer>, std::less<>> peers_;
    mutable std::set<std::string, std::less<>> candidates_; // includes this instance if it is one
    mutable bool candidates_valid_ = false;
    bool was_candidate_ = false;
    std::set<std::shared_ptr<inbound>> inbound_;
    std::map<instance_process, heard_process> heard_;
    std::vector<std::pair<monotonic_time, std::unique_ptr<frame_link>>> discovery_links_;
    std::vector<cell_claim> claims_;
    std::uint64_t opened_links_ = 0;
    std::uint64_t state_number_ = 1;                             // rises with each announced change
    mutable std::map<std::string, std::string> heartbeat_cache_; // texts by kind, of one state
    mutable std::uint64_t heartbeat_cache_number_ = 0;           // number of that state
    bool leaving_ = false;
    std::int64_t config_version_ = -1;
    timer_id check_timer_ = 0;
    int checks_ = 0;
    monotonic_time last_check_at_;
    overload_detector overload_detector_;
    monotonic_time keeps_cells_until_;
    bool announced_keeping_cells_ = false;
    latency_histogram event_loop_lateness_;
    latency_histogram read_lag_;
    std::shared_ptr<const monotonic_time> read_until_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
