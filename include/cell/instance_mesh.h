#pragma once

#include "base/timer_service.h"
#include "cell/cell_election.h"
#include "cell/control_candidates.h"
#include "cell/overload_detector.h"
#include "net/frame_link.h"
#include "net/poller.h"

#include <functional>
#include <json/value.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// How other instances reach one.
struct instance_address {
    std::string name;
    std::string address; // "ip:port" of its link port
    std::string data_centre;
    double cpu_share = 0;
    std::int64_t incarnation = 0; // Unix ms of its start
};

// Links between the instances of a deployment: who is alive, what each one claims, and messages.
// An instance links to every candidate for control and answers what links to it. Liveness is
// judged from replies on the own link only, so that a cut of one direction is noticed.
class instance_mesh {
public:
    // Receives a message of a peer; `reply` sends on the same link.
    using sender = std::function<void(const Json::Value&)>;
    using message_handler =
        std::function<void(const std::string& peer, const Json::Value& message, sender reply)>;

    instance_mesh(poller& events, timer_service& timers, instance_address self);
    ~instance_mesh();
    instance_mesh(const instance_mesh&) = delete;
    instance_mesh& operator=(const instance_mesh&) = delete;

    // Starts to accept links at an address of this machine, which peers may reach under another
    // one, that of `self`. Error: the address cannot be used.
    result<bool> listen(std::string_view address);

    // Adds or refreshes instances. Links follow from the next check on.
    void update_instances(const std::vector<instance_address>& instances);

    // Asks an address for the instances that its process knows; for a start without the store.
    void discover_from(const std::string& address);

    // Forgets an instance that has not been listed for long and does not answer.
    void remove_if_dead(std::string_view name);

    // What this instance announces from now on.
    void announce(std::vector<cell_claim> claims, bool leaving, std::int64_t config_version);

    // Sends on the own link; false if there is none that is open.
    bool send(std::string_view peer, const Json::Value& message);

    // This instance and all known ones.
    std::vector<instance_view> views() const;

    // This instance and those that it links to.
    std::vector<instance_view> linked_views() const;

    // Those in touch that hold claims and stay, which is all that a caller's job needs to know.
    std::vector<instance_view> claim_holders() const;

    // True if this instance may control workers, so that it needs their list.
    bool is_candidate() const;
    std::vector<instance_address> known_instances() const;
    const instance_address& self() const { return self_; }

    // True if a peer has linked to this one and sent something within the silence limit.
    bool has_heard_from(std::string_view peer) const;

    // True if a peer's reply to a beat is late. What is sent to it now may arrive late or never.
    bool reply_overdue(std::string_view peer) const;

    // True if every known candidate for control is in touch, has no process, because its machine
    // refuses connections, or cannot be reached. Then no unknown claim can exist in touch.
    bool knows_state_of_all() const;

    // True if every peer in touch has started at about the same time as this instance or later: all
    // were down. After a cut, some of those on this side are older.
    bool is_cold_start() const;

    // Peers in touch with a newer configuration.
    std::vector<std::string> peers_with_newer_config(std::int64_t version) const;

    message_handler on_message;
    std::function<void()> on_change;                         // claims, liveness
    std::function<void()> on_newer_config;                   // a peer has one
    std::function<void(const std::string& peer)> on_restart; // a peer lost what it knew
    std::function<void(const std::string& peer)> on_reconnect;

private:
    struct peer;
    struct inbound;

    void check();
    void discount_pause(duration pause);
    bool update_overload(duration late, duration elapsed);
    void update_link(peer& peer);
    void probe(peer& peer);
    void reconnect_if_stalled(peer& peer);
    void open(peer& peer);
    void on_pong(peer& peer, const Json::Value& message);
    bool apply_state(peer& peer, const Json::Value& message);
    void send_pings();
    void send_state();
    void ping(peer& peer);
    bool is_monitored_closely(const peer& peer) const;
    duration extra_silence_allowed(const peer& peer) const;
    void accept(std::shared_ptr<tcp_stream> stream);
    void on_inbound(inbound& link, std::string_view text);
    bool is_alive(const peer& peer) const;
    bool reply_overdue(const peer& peer) const;
    const std::set<std::string, std::less<>>& candidates() const;
    instance_view own_view() const;
    instance_view view_of(const std::string& name, const peer& peer) const;
    bool update_lost(peer& peer, bool alive);
    Json::Value own_state() const;
    std::string heartbeat_text(const char* kind, std::uint64_t& sent_state_number) const;

    poller& events_;
    timer_service& timers_;
    instance_address self_;
    std::unique_ptr<tcp_listener> listener_;
    std::map<std::string, std::unique_ptr<peer>, std::less<>> peers_;
    mutable std::set<std::string, std::less<>> candidates_; // with this instance, if it is one
    mutable bool candidates_valid_ = false;
    bool was_candidate_ = false;
    std::set<std::shared_ptr<inbound>> inbound_;
    std::map<std::string, monotonic_time, std::less<>> last_heard_;
    std::vector<std::pair<monotonic_time, std::unique_ptr<frame_link>>> discovery_links_;
    std::vector<cell_claim> claims_;
    std::uint64_t state_number_ = 1;                             // rises with each announced change
    mutable std::map<std::string, std::string> heartbeat_cache_; // by kind, of one state
    mutable std::uint64_t heartbeat_cache_number_ = 0;           // number of that state
    bool leaving_ = false;
    std::int64_t config_version_ = -1;
    timer_id check_timer_ = 0;
    int checks_ = 0;
    monotonic_time verified_at_;
    overload_detector overload_detector_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
