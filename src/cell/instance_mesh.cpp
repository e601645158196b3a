#include "cell/instance_mesh.h"

#include "base/log.h"
#include "cell/mesh_codec.h"
#include "http/json_fields.h"
#include "http/json_text.h"
#include "instance_mesh_internal.h"

#include <algorithm>
#include <limits>

namespace cactusloom {

namespace {

// Longer than a restart or a short partition; other candidates are available meanwhile.
constexpr duration candidate_replacement_delay = std::chrono::seconds{1};
// Processes of machines that lost power together have been observed to restart within 0.42 s of
// each other; the rest allows for clock differences.
constexpr duration cold_start_window = std::chrono::milliseconds{800};

constexpr value_range<std::int64_t> any_version{-1, std::numeric_limits<std::int64_t>::max()};

} // namespace

instance_mesh::instance_mesh(poller& events, timer_service& timers, instance_address self)
    : controllers_of_own_jobs([] { return std::set<std::string>(); }),
      on_message([](const peer_link&, const Json::Value&, const sender&) {}), on_change([] {}),
      on_newer_config([] {}), on_restart([](const std::string&) {}),
      on_reconnect([](const std::string&) {}), on_peer_reconnect([](const peer_link&) {}),
      on_contact_lost([] {}), on_own_silence([](std::span<const std::string>) {}), events_(events),
      timers_(timers), self_(std::move(self)), read_until_(events.read_until())
{
}

instance_mesh::~instance_mesh()
{
    *alive_ = false;
    timers_.cancel(check_timer_);
}

result<bool> instance_mesh::listen(std::string_view address)
{
    auto listener =
        tcp_listener::listen(events_, address, [this](std::shared_ptr<tcp_stream> stream) {
            accept(std::move(stream));
        });
    if (!listener) {
        return listener.error();
    }
    listener_ = std::move(listener.value());
    check();
    return true;
}

void instance_mesh::update_instances(const std::vector<instance_address>& instances)
{
    for (const auto& it : instances) {
        if (it.name == self_.name || it.name.empty()) {
            continue;
        }
        auto& entry = peers_[it.name];
        if (!entry) {
            entry = std::make_unique<peer>();
            entry->address = it;
            candidates_valid_ = false;
            log_event("instance_learned", "instance={} address={}", it.name, it.address);
            if (listener_ && candidates().contains(it.name)) {
                open(*entry); // the election waits for the links
            }
            continue;
        }
        if (it.incarnation < entry->address.incarnation) {
            continue;
        }
        if (it.address != entry->address.address) {
            entry->closed = true;
        }
        candidates_valid_ &= it.data_centre == entry->address.data_centre &&
                             it.cpu_share == entry->address.cpu_share;
        entry->address = it;
    }
}

void instance_mesh::discover_from(const std::string& address)
{
    if (address == self_.address) {
        return;
    }
    auto stream = tcp_stream::connect(events_, address);
    if (!stream) {
        log_event("introduction_failed", "address={} reason=\"{}\"", address,
                  stream.error().message);
        return;
    }
    auto link = std::make_unique<frame_link>(stream.value());
    link->on_message = [this](std::string_view text) {
        const auto message = parse_json_object(text);
        if (!message) {
            log_event("introduction_unreadable", "reason=\"{}\"", message.error().message);
            return;
        }
        json_fields in(message.value());
        if (in.text("t") == "instances") {
            update_instances(decode_instances(in.array("instances")));
        }
    };
    auto request = own_state();
    request["t"] = "instances_request";
    link->send(write_json(request));
    discovery_links_.emplace_back(timers_.monotonic_now(), std::move(link));
}

void instance_mesh::remove_if_dead(std::string_view name)
{
    const auto it = peers_.find(name);
    if (it != peers_.end() && !is_alive(*it->second)) {
        log_event("instance_forgotten", "instance={}", name);
        peers_.erase(it);
        candidates_valid_ = false;
    }
}

void instance_mesh::announce(std::vector<cell_claim> claims, bool leaving,
                             std::int64_t config_version)
{
    const bool changed = !std::ranges::equal(claims, claims_) || leaving != leaving_ ||
                         config_version != config_version_;
    candidates_valid_ &= claims.empty() == claims_.empty();
    claims_ = std::move(claims);
    leaving_ = leaving;
    config_version_ = config_version;
    if (changed) {
        ++state_number_;
        send_state(); // a change of control must not wait for the next heartbeat
    }
}

void instance_mesh::keep_cells_until(monotonic_time end)
{
    keeps_cells_until_ = std::max(keeps_cells_until_, end);
    announced_keeping_cells_ = keeps_cells();
    ++state_number_; // goes out with the announcement of the claim
}

bool instance_mesh::keeps_cells() const
{
    return timers_.monotonic_now() < keeps_cells_until_;
}

bool instance_mesh::send(std::string_view name, const Json::Value& message)
{
    const auto it = peers_.find(name);
    if (it == peers_.end() || !it->second->link || it->second->closed ||
        !it->second->link->is_connected()) {
        return false;
    }
    it->second->link->send(write_json(message));
    it->second->last_message_at = timers_.monotonic_now();
    return true;
}

// Instances that may have jobs here ping at the full rate.
duration instance_mesh::requester_silence_limit() const
{
    return silence_limit + (claims_.empty() ? slow_heartbeat_slack : duration::zero());
}

bool instance_mesh::has_heard_from(std::string_view name) const
{
    constexpr auto earliest = std::numeric_limits<std::int64_t>::min();
    auto it = heard_.lower_bound({std::string(name), earliest});
    for (; it != heard_.end() && it->first.name == name; ++it) {
        if (has_heard_from(it->first)) {
            return true;
        }
    }
    return false;
}

// Messages may wait unread, so the silence counts only up to the last reading.
bool instance_mesh::has_heard_from(const instance_process& process) const
{
    const auto it = heard_.find(process);
    return it != heard_.end() && *read_until_ - it->second.at < requester_silence_limit();
}

// Only processes in contact count: a clock that was set back makes the next process of an instance
// look older than a lost one.
bool instance_mesh::is_replaced(const instance_process& process) const
{
    auto it = heard_.upper_bound(process);
    for (; it != heard_.end() && it->first.name == process.name; ++it) {
        if (has_heard_from(it->first)) {
            return true;
        }
    }
    return false;
}

bool instance_mesh::is_replaced(const peer_link& link) const
{
    const auto it = heard_.find(link.process);
    return is_replaced(link.process) ||
           (it != heard_.end() && link.number < it->second.newest_link);
}

void instance_mesh::forget_silent_processes()
{
    std::erase_if(heard_, [this](const auto& it) {
        return *read_until_ - it.second.at > 2 * requester_silence_limit();
    });
}

std::vector<instance_view> instance_mesh::views() const
{
    std::vector<instance_view> out;
    out.reserve(peers_.size() + 1);
    out.push_back(own_view());
    for (const auto& [name, it] : peers_) {
        out.push_back(view_of(name, *it));
    }
    return out;
}

std::vector<instance_view> instance_mesh::linked_views() const
{
    std::vector<instance_view> out = {own_view()};
    for (const auto& name : candidates()) {
        if (const auto it = peers_.find(name); it != peers_.end()) {
            out.push_back(view_of(name, *it->second));
        }
    }
    return out;
}

std::vector<instance_view> instance_mesh::claim_holders() const
{
    auto out = linked_views();
    std::erase_if(out, [](const auto& it) { return !it.alive || it.leaving || it.claims.empty(); });
    return out;
}

instance_view instance_mesh::own_view() const
{
    return {self_.name,
            self_.data_centre,
            self_.cpu_share,
            true,
            leaving_ || !is_candidate(),
            claims_,
            overload_detector_.is_overloaded(),
            true,
            false,
            false,
            announced_keeping_cells_};
}

instance_view instance_mesh::view_of(const std::string& name, const peer& it) const
{
    if (!candidates().contains(name)) { // no own link: liveness follows from what the peer sends
        instance_view out{name, it.address.data_centre, it.address.cpu_share, has_heard_from(name)};
        out.leaving = true; // it is no candidate
        out.overloaded = it.overloaded;
        out.linked = false;
        return out;
    }
    instance_view out{name, it.address.data_centre, it.address.cpu_share, is_alive(it)};
    out.leaving = it.leaving;
    out.claims = it.claims;
    out.overloaded = it.overloaded;
    out.connection_refused = it.connection_refused;
    out.reply_overdue = reply_overdue(it);
    out.keeps_cells = it.keeps_cells;
    return out;
}

std::vector<instance_address> instance_mesh::known_instances() const
{
    std::vector<instance_address> out = {self_};
    for (const auto& [name, it] : peers_) {
        out.push_back(it->address);
    }
    return out;
}

bool instance_mesh::knows_state_of_all() const
{
    const auto& linked = candidates();
    return std::ranges::all_of(peers_, [&](const auto& it) {
        const auto& peer = *it.second;
        return !linked.contains(it.first) || peer.connection_refused || peer.unreachable ||
               is_alive(peer);
    });
}

bool instance_mesh::is_cold_start() const
{
    const auto since = self_.incarnation - cold_start_window.count() / 1000;
    return std::ranges::all_of(peers_, [&](const auto& row) {
        return !is_alive(*row.second) || row.second->incarnation >= since;
    });
}

std::vector<std::string> instance_mesh::peers_with_newer_config(std::int64_t version) const
{
    std::vector<std::string> out;
    for (const auto& [name, it] : peers_) {
        if (it->config_version > version && is_alive(*it)) {
            out.push_back(name);
        }
    }
    return out;
}

bool instance_mesh::is_candidate() const
{
    return candidates().contains(self_.name);
}

const std::set<std::string, std::less<>>& instance_mesh::candidates() const
{
    if (!std::exchange(candidates_valid_, true)) {
        // Overload is temporary; the choice of candidates must not change with it.
        std::vector<instance_view> stable_views = {
            {self_.name, self_.data_centre, self_.cpu_share, true, false, claims_}};
        for (const auto& [name, it] : peers_) {
            stable_views.push_back({name, it->address.data_centre, it->address.cpu_share, !it->lost,
                                    false, it->claims});
        }
        candidates_ = control_candidates(stable_views);
    }
    return candidates_;
}

// Tracks how long a candidate has been out of contact. Returns true if that changes the set of
// candidates.
bool instance_mesh::update_lost(peer& it, bool alive)
{
    const auto now = timers_.monotonic_now();
    const bool linked = candidates().contains(it.address.name);
    if (alive || !linked) {
        it.no_contact_since = {};
    }
    else if (it.no_contact_since == monotonic_time{}) {
        it.no_contact_since = now;
    }
    bool lost = it.lost && !has_heard_from(it.address.name); // for a peer without an own link
    if (linked) {
        lost = !alive && now - it.no_contact_since > candidate_replacement_delay;
    }
    if (std::exchange(it.lost, lost) == lost) {
        return false;
    }
    candidates_valid_ = false;
    return true;
}

Json::Value instance_mesh::own_state() const
{
    Json::Value message;
    message["from"] = encode_instance(self_);
    message["claims"] = encode_claims(claims_);
    message["number"] = Json::UInt64{state_number_};
    message["leaving"] = leaving_;
    message["strained"] = overload_detector_.is_overloaded();
    message["keeps_cells"] = announced_keeping_cells_;
    message["config"] = Json::Int64{config_version_};
    return message;
}

// Applies the state that a peer announces, unless a newer one has already arrived on another link.
// `own_link` is the number of the own link on which it was received, or 0. Returns true if that may
// change who controls what.
bool instance_mesh::apply_state(peer& it, const Json::Value& message, std::uint64_t own_link)
{
    json_fields in(message);
    const auto from = decode_instance(in.value("from"));
    const auto number = in.number("number");
    // A link that was opened since leads to the process that runs now, even if its clock was set
    // back and its start time is the earlier one.
    const bool is_former = from.incarnation < it.incarnation && own_link <= it.incarnation_link;
    if (is_former || (from.incarnation == it.incarnation && number < it.state_number)) {
        return false;
    }
    const bool restarted = it.incarnation != 0 && from.incarnation != it.incarnation;
    if (restarted) {
        it.clock = {}; // another machine may have taken the name
    }
    if (from.incarnation != it.incarnation) {
        it.incarnation_link = own_link != 0 ? own_link : opened_links_;
    }
    it.incarnation = from.incarnation;
    it.state_number = number;
    it.address = from;
    candidates_valid_ &= !restarted;
    auto claims = decode_claims(in.array("claims"));
    const bool leaving = in.flag("leaving");
    const bool overloaded = in.flag("strained");
    const bool keeps_cells = in.flag("keeps_cells");
    const bool changed = leaving != it.leaving || overloaded != it.overloaded ||
                         keeps_cells != it.keeps_cells || !std::ranges::equal(claims, it.claims);
    candidates_valid_ &= claims.empty() == it.claims.empty();
    it.claims = std::move(claims);
    it.leaving = leaving;
    it.overloaded = overloaded;
    it.keeps_cells = keeps_cells;
    it.config_version = in.integer("config", any_version, -1);
    if (it.config_version > config_version_) {
        on_newer_config();
    }
    if (restarted) {
        log_event("instance_restarted", "instance={}", from.name);
        on_restart(from.name);
    }
    return changed || restarted;
}

void instance_mesh::on_pong(peer& it, const Json::Value& message)
{
    it.last_pong = timers_.monotonic_now();
    it.connection_refused = false;
    it.unreachable = false;
    const bool was_late = reply_overdue(it);
    it.unanswered_since = {};
    const bool changed = message.isMember("from") && apply_state(it, message, it.link_number);
    if (const auto clock_ms = json_fields(message).integer("clock", any_clock, -1); clock_ms >= 0) {
        const bool is_first = !it.clock.is_known();
        it.clock.add_reply(clock_ms, timers_.monotonic_now());
        if (is_first) {
            it.has_own_jobs = controllers_of_own_jobs().contains(it.address.name);
            ping(it); // jobs that were submitted on the new link wait for a renewal
        }
    }
    if (changed || was_late || !it.was_alive) {
        it.was_alive = true;
        on_change();
    }
}

void instance_mesh::accept(std::shared_ptr<tcp_stream> stream)
{
    const auto it = std::make_shared<inbound>();
    it->link = std::make_unique<frame_link>(std::move(stream));
    it->from.renewed_at = it->renewed_at;
    inbound_.insert(it);
    it->link->on_message = [this, inbound_link = it.get()](std::string_view text) {
        on_inbound(*inbound_link, text);
    };
    it->link->on_closed = [this, weak = std::weak_ptr(it)] {
        // Deferred because the link must not be destroyed from within its own handler.
        timers_.schedule(duration::zero(), [this, weak, alive = alive_] {
            if (const auto gone = *alive ? weak.lock() : nullptr) {
                inbound_.erase(gone);
            }
        });
    };
}

void instance_mesh::on_inbound(inbound& link, std::string_view text)
{
    const auto parsed = parse_json_object(text);
    if (!parsed) {
        log_event("peer_message_unreadable", "instance={} reason=\"{}\"", link.from.process.name,
                  parsed.error().message);
        return;
    }
    const auto& message = parsed.value();
    const auto kind = json_fields(message).text("t");
    if (message.isMember("from")) {
        const auto from = decode_instance(message["from"]);
        link.from.process = {from.name, from.incarnation};
        update_instances({from});
        const auto known_peer = peers_.find(from.name);
        if (known_peer != peers_.end() && apply_state(*known_peer->second, message)) {
            on_change();
        }
    }
    if (const auto known_peer = peers_.find(link.from.process.name); known_peer != peers_.end()) {
        reconnect_if_stalled(*known_peer->second);
    }
    auto& heard = heard_[link.from.process];
    heard.at = timers_.monotonic_now();
    if (const auto number = json_fields(message).number("link"); number > link.from.number) {
        link.from.number = number;
        link.has_dated_messages = message.isMember("as_of");
        heard.newest_link = std::max(heard.newest_link, number);
        on_peer_reconnect(link.from);
    }
    note_renewal(link, message);
    if (kind == "ping") {
        link.link->send(heartbeat_text("pong", link.sent_state_number));
        return;
    }
    if (kind == "instances_request") {
        Json::Value reply;
        reply["t"] = "instances";
        reply["instances"] = encode_instances(known_instances());
        link.link->send(write_json(reply));
        return;
    }
    std::weak_ptr<inbound> weak;
    for (const auto& it : inbound_) {
        if (it.get() == &link) {
            weak = it;
        }
    }
    on_message(link.from, message, [weak](const Json::Value& reply) {
        if (const auto it = weak.lock()) {
            it->link->send(write_json(reply));
        }
    });
}

// Instances of an earlier release do not say when they sent a message.
void instance_mesh::note_renewal(inbound& link, const Json::Value& message) const
{
    const auto now = timers_.monotonic_now();
    const monotonic_time sent_at{
        std::chrono::milliseconds{json_fields(message).integer("as_of", any_clock)}};
    *link.renewed_at =
        std::max(*link.renewed_at, link.has_dated_messages ? std::min(sent_at, now) : now);
}

} // namespace cactusloom
