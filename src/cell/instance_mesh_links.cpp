// Links of an instance: heartbeats, silence, probe connections and link replacement.
#include "base/log.h"
#include "http/json_fields.h"
#include "http/json_text.h"
#include "instance_mesh_internal.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {

namespace {

constexpr int checks_per_heartbeat = 2;
// No caller waits longer than this for the outcome of its job.
constexpr duration max_job_wait = std::chrono::seconds{5};
// Allows for a round trip (24 ms between regions) and an iteration of the peer's event loop.
constexpr duration reply_timeout = std::chrono::milliseconds{60};
// Two heartbeats and their replies are missing: a second connection then tells a slow process from
// a lost machine.
constexpr duration suspicion_timeout = std::chrono::milliseconds{250};
// The kernel of a reachable machine accepts a connection within one round trip (24 ms between
// regions), however busy the process is.
constexpr duration handshake_timeout = std::chrono::milliseconds{120};
constexpr duration connect_timeout = std::chrono::milliseconds{400};
// Upper bound of the time from the end of a pause until a ping arrives.
constexpr duration ping_delivery_time = std::chrono::milliseconds{100};
constexpr duration discovery_timeout = std::chrono::seconds{2};

// Adds a number to the text of a JSON object that is not empty.
std::string with_field(std::string_view object, std::string_view name, std::int64_t value)
{
    return fmt::format("{},\"{}\":{}}}", object.substr(0, object.rfind('}')), name, value);
}

} // namespace

bool instance_mesh::is_alive(const peer& it) const
{
    if (it.connection_refused || it.unreachable || it.last_pong == monotonic_time{}) {
        return false;
    }
    // After a pause of this process, replies wait unread: the time of the last check counts until
    // the next check.
    const auto as_of = std::min(timers_.monotonic_now(), last_check_at_ + 2 * link_check_interval);
    return as_of - it.last_pong < silence_limit_of(it);
}

// True if this instance may have to take over from the peer, or sends its jobs there.
bool instance_mesh::is_monitored_closely(const peer& it) const
{
    return is_candidate() || it.has_own_jobs ||
           (!it.claims.empty() && (it.address.data_centre == self_.data_centre ||
                                   (it.last_message_at != monotonic_time{} &&
                                    timers_.monotonic_now() - it.last_message_at < max_job_wait)));
}

duration instance_mesh::extra_silence_allowed(const peer& it) const
{
    return is_monitored_closely(it) ? duration::zero() : slow_heartbeat_slack;
}

// An instance that has announced its overload is slow, not lost: its machine accepts connections.
duration instance_mesh::silence_limit_of(const peer& it) const
{
    return silence_limit + extra_silence_allowed(it) +
           (it.overloaded ? overload_slack : duration::zero());
}

bool instance_mesh::reply_overdue(const peer& it) const
{
    return it.unanswered_since != monotonic_time{} &&
           timers_.monotonic_now() - it.unanswered_since > reply_timeout;
}

bool instance_mesh::reply_overdue(std::string_view name) const
{
    const auto it = peers_.find(name);
    return it != peers_.end() && reply_overdue(*it->second);
}

void instance_mesh::check()
{
    check_timer_ = timers_.schedule(link_check_interval, [this] { check(); });
    const auto now = timers_.monotonic_now();
    const auto last = std::exchange(last_check_at_, now);
    bool changed = false;
    bool contact_lost = false;
    bool paused = false;
    std::vector<std::string> unpinged;
    if (last != monotonic_time{}) {
        const auto late = now - last - link_check_interval;
        event_loop_lateness_.record(std::max(late, duration::zero()));
        read_lag_.record(std::max(now - *read_until_, duration::zero()));
        paused = late > link_check_interval;
        if (paused) {
            discount_pause(late);
            unpinged = peers_without_recent_ping();
        }
        changed = update_overload(late, now - last);
    }
    forget_silent_processes();
    std::erase_if(discovery_links_,
                  [now](const auto& it) { return now - it.first > discovery_timeout; });
    for (const auto& [name, it] : peers_) {
        if (!candidates().contains(name)) {
            it->link.reset();
            it->probe.reset();
        }
        else {
            update_link(*it);
        }
        const bool alive = is_alive(*it);
        changed |= update_lost(*it, alive);
        if (alive != it->was_alive) {
            it->was_alive = alive;
            changed = true;
            contact_lost |= !alive;
            log_event(alive ? "instance_up" : "instance_down",
                      "instance={} refused={} unreachable={} silent_ms={}", name,
                      it->connection_refused, it->unreachable,
                      (now - it->last_pong).count() / 1000);
        }
    }
    const bool promoted = !std::exchange(was_candidate_, is_candidate()) && is_candidate();
    if (checks_++ % checks_per_heartbeat == 0 || promoted || paused) {
        send_pings();
    }
    if (changed) {
        on_change();
    }
    if (!unpinged.empty()) {
        on_own_silence(unpinged);
    }
    if (contact_lost) {
        on_contact_lost();
    }
}

// Returns a ping or its reply. It includes the state only if that has changed since it was last
// sent on the link, because heartbeats are most of the traffic of idle instances.
std::string instance_mesh::heartbeat_text(const char* kind, std::uint64_t& sent_state_number) const
{
    Json::Value heartbeat;
    heartbeat["t"] = kind;
    if (std::exchange(sent_state_number, state_number_) == state_number_) {
        return with_clock(write_json(heartbeat));
    }
    // The same text, but for the clock, is sent on every link.
    if (std::exchange(heartbeat_cache_number_, state_number_) != state_number_) {
        heartbeat_cache_.clear();
    }
    auto& text = heartbeat_cache_[kind];
    if (text.empty()) {
        heartbeat = own_state();
        heartbeat["t"] = kind;
        text = write_json(heartbeat);
    }
    return with_clock(text);
}

// The number tells the peer which link is the newest. Probes and introductions have none, because
// no message about a job is sent on them. A ping that is sent as of 0 renews nothing.
std::string instance_mesh::first_ping_text(peer& it) const
{
    return with_field(with_field(heartbeat_text("ping", it.sent_state_number), "link",
                                 static_cast<std::int64_t>(it.link_number)),
                      "as_of", 0);
}

// Adds the current clock to the text of a JSON object.
std::string instance_mesh::with_clock(std::string_view object) const
{
    return with_field(object, "clock", own_clock_ms());
}

std::int64_t instance_mesh::own_clock_ms() const
{
    return timers_.monotonic_now().time_since_epoch().count() / 1000;
}

std::int64_t instance_mesh::read_until_ms(std::string_view name) const
{
    const auto it = peers_.find(name);
    return it != peers_.end() && it->second->clock.is_known() ? it->second->clock.at(*read_until_)
                                                              : -1;
}

void instance_mesh::send_pings()
{
    // Shorter by half a check interval, so that timer lateness does not skip a turn.
    constexpr auto min_ping_interval = slow_heartbeat_interval - link_check_interval / 2;
    const auto now = timers_.monotonic_now();
    const auto controllers = controllers_of_own_jobs();
    for (const auto& [name, it] : peers_) {
        it->has_own_jobs = controllers.contains(name);
        if (is_monitored_closely(*it) || now - it->pinged_at >= min_ping_interval) {
            ping(*it);
        }
    }
}

void instance_mesh::ping(peer& it)
{
    if (!it.link || it.closed || !it.link->is_connected()) {
        return;
    }
    it.pinged_at = timers_.monotonic_now();
    auto text = heartbeat_text("ping", it.sent_state_number);
    if (it.has_own_jobs && is_alive(it) && it.clock.is_known()) {
        // Not the current time: callers may have left unread, and submitted their jobs elsewhere.
        text = with_field(text, "as_of", it.clock.at(*read_until_));
    }
    it.link->send(text);
    if (it.unanswered_since == monotonic_time{}) {
        it.unanswered_since = it.pinged_at;
    }
}

// Sends the state on links of both directions without waiting for the next heartbeat.
void instance_mesh::send_state()
{
    for (const auto& [name, it] : peers_) {
        ping(*it);
    }
    for (const auto& it : inbound_) {
        if (it->sent_state_number != state_number_) {
            it->link->send(heartbeat_text("pong", it->sent_state_number));
        }
    }
}

// Returns true if this instance has become overloaded or has recovered.
bool instance_mesh::update_overload(duration late, duration elapsed)
{
    const bool before = overload_detector_.is_overloaded();
    overload_detector_.add_sample(late, elapsed, last_check_at_);
    const bool kept = std::exchange(announced_keeping_cells_, keeps_cells()) && !keeps_cells();
    if (overload_detector_.is_overloaded() == before) {
        if (kept) {
            ++state_number_;
            send_state();
        }
        return kept;
    }
    log_event(before ? "strain_over" : "strained", "late_ms={} of_ms={}", late.count() / 1000,
              elapsed.count() / 1000);
    ++state_number_;
    send_state(); // a change of control must not wait for the next heartbeat
    return true;
}

// Replies wait unread after a pause of this process, so the pause does not count as silence of the
// peers. The links stay: what is on its way on them still arrives.
void instance_mesh::discount_pause(duration pause)
{
    log_event("paused", "for_ms={}", pause.count() / 1000);
    for (const auto& row : peers_) {
        auto& it = *row.second;
        it.opened_at += pause;
        it.probed_at += pause;
        it.unanswered_since = {};
        if (it.last_pong != monotonic_time{}) {
            it.last_pong += pause;
        }
    }
}

// Peers that may not have heard from this instance for their silence limit.
std::vector<std::string> instance_mesh::peers_without_recent_ping() const
{
    const auto now = timers_.monotonic_now();
    std::vector<std::string> names;
    for (const auto& [name, it] : peers_) {
        if (it->link && is_monitored_closely(*it) &&
            now - it->pinged_at > silence_limit - ping_delivery_time) {
            names.push_back(name);
        }
    }
    return names;
}

// Replaces a link that is closed, silent or not opened in time.
void instance_mesh::update_link(peer& it)
{
    const auto now = timers_.monotonic_now();
    if (!it.link || it.closed) {
        open(it);
        return;
    }
    if (!it.link->is_connected()) {
        if (now - it.opened_at > handshake_timeout) {
            it.unreachable = true;
        }
        if (now - it.opened_at > connect_timeout) {
            open(it);
        }
        return;
    }
    const auto silence = now - std::max(it.last_pong, it.opened_at);
    if (silence <= suspicion_timeout + extra_silence_allowed(it)) {
        it.probe.reset();
        return;
    }
    if (!it.probe) {
        probe(it);
        return;
    }
    it.unreachable = !it.probe->is_connected() && now - it.probed_at > handshake_timeout;
    // A process that was only paused answers on both connections at the same time.
    const bool broken = it.probe_answered_at != monotonic_time{} &&
                        now - it.probe_answered_at >= link_check_interval;
    if (it.unreachable || broken || silence > silence_limit_of(it)) {
        log_event("link_given_up", "instance={} silent_ms={} unreachable={} probe_answered={}",
                  it.address.name, silence.count() / 1000, it.unreachable, broken);
        open(it);
    }
}

// Reopens a connection attempt that has stalled, since the peer has just been heard from and can be
// reached again. If its SYN packet was lost, the kernel would repeat it only after a second.
void instance_mesh::reconnect_if_stalled(peer& it)
{
    if (it.link && !it.link->is_connected() &&
        timers_.monotonic_now() - it.opened_at > handshake_timeout) {
        open(it);
    }
}

void instance_mesh::replace_link(std::string_view name)
{
    const auto it = peers_.find(name);
    if (it != peers_.end() && it->second->link && it->second->link->is_connected()) {
        it->second->closed = true; // the next check opens a new one
    }
}

bool instance_mesh::is_in_contact(std::string_view name) const
{
    const auto it = peers_.find(name);
    return name == self_.name || (it != peers_.end() && is_alive(*it->second));
}

// Opens a second connection beside a silent link. A lost machine does not accept it, a busy process
// accepts it but does not reply, and behind a broken link the process replies.
void instance_mesh::probe(peer& it)
{
    it.probed_at = timers_.monotonic_now();
    it.probe_answered_at = {};
    auto stream = tcp_stream::connect(events_, it.address.address);
    if (!stream) {
        log_event("probe_failed", "instance={} reason=\"{}\"", it.address.name,
                  stream.error().message);
        return;
    }
    it.probe = std::make_shared<frame_link>(stream.value());
    it.probe->on_connected = [this, linked_peer = &it] {
        std::uint64_t no_state_sent = 0;
        linked_peer->probe->send(heartbeat_text("ping", no_state_sent));
    };
    it.probe->on_message = [this, linked_peer = &it](std::string_view) {
        linked_peer->probe_answered_at = timers_.monotonic_now();
    };
    it.probe->on_closed = [linked_peer = &it] { linked_peer->closed = true; };
}

void instance_mesh::open(peer& it)
{
    it.probe.reset();
    it.closed = false;
    it.was_connected = false;
    it.unanswered_since = {};
    it.clock = {}; // another process may reply
    it.opened_at = timers_.monotonic_now();
    it.link_number = ++opened_links_;
    auto stream = tcp_stream::connect(events_, it.address.address);
    if (!stream) {
        log_event("link_failed", "instance={} reason=\"{}\"", it.address.name,
                  stream.error().message);
        it.link.reset();
        return;
    }
    it.link = std::make_shared<frame_link>(stream.value());
    auto* linked_peer = &it;
    it.link->on_connected = [this, linked_peer] {
        linked_peer->was_connected = true;
        linked_peer->connection_refused = false;
        linked_peer->unreachable = false;
        linked_peer->sent_state_number = 0;
        linked_peer->link->send(first_ping_text(*linked_peer));
        on_reconnect(linked_peer->address.name);
    };
    it.link->on_message = [this, linked_peer](std::string_view text) {
        const auto message = parse_json_object(text);
        if (!message) {
            log_event("peer_message_unreadable", "instance={} reason=\"{}\"",
                      linked_peer->address.name, message.error().message);
            return;
        }
        if (json_fields(message.value()).text("t") == "pong") {
            on_pong(*linked_peer, message.value());
            return;
        }
        on_message({{linked_peer->address.name, linked_peer->incarnation}}, message.value(),
                   [](const Json::Value&) {});
    };
    it.link->on_closed = [this, linked_peer] {
        linked_peer->closed = true;
        const bool opened = linked_peer->was_connected;
        if (!opened) {
            // The SYN packet was reset: no process listens there.
            linked_peer->connection_refused = true;
        }
        // A closed link alone does not show whether the process is alive; the attempt to open a new
        // one does.
        timers_.schedule(duration::zero(),
                         [this, opened, name = linked_peer->address.name, alive = alive_] {
                             if (!*alive) {
                                 return;
                             }
                             const auto found = peers_.find(name);
                             if (found == peers_.end()) {
                                 return;
                             }
                             if (opened && found->second->closed) {
                                 open(*found->second);
                             }
                             on_change();
                         });
    };
}

} // namespace cactusloom
