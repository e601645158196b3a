#include "cell/instance_mesh.h"

#include "base/log.h"
#include "cell/mesh_codec.h"
#include "http/json_text.h"

#include <algorithm>

namespace cactusloom {

namespace {

constexpr duration check_interval = std::chrono::milliseconds{50};
constexpr int checks_per_beat = 2;
// Six beats: a lost packet is sent again within one to two hundred ms.
constexpr duration silence_limit = std::chrono::milliseconds{600};
// A reply takes a round trip (24 ms between regions) and a turn of the peer's loop.
constexpr duration reply_patience = std::chrono::milliseconds{60};
// Two beats and their replies are missing: a second connection tells a slow process from a lost
// machine.
constexpr duration suspicion_limit = std::chrono::milliseconds{250};
// The system of a reachable machine opens a connection within one round trip (24 ms between
// regions), however busy its process is.
constexpr duration handshake_limit = std::chrono::milliseconds{120};
constexpr duration connect_limit = std::chrono::milliseconds{400};
constexpr duration introduction_limit = std::chrono::seconds{2};
// Up to this many instances every one may control; beyond it the strongest of each data centre.
constexpr std::size_t full_mesh_size = 12;
constexpr std::size_t candidates_per_data_centre = 3;

} // namespace

struct instance_mesh::peer {
    instance_address address;
    std::shared_ptr<frame_link> link;
    std::shared_ptr<frame_link> probe; // second connection while the link is silent
    monotonic_time probed_at;
    monotonic_time probe_answered_at; // zero: not yet
    bool closed = false;              // the link is to be replaced at the next check
    bool refused = false;             // nothing listened at the last attempt
    bool unreachable = false;         // the last attempt was not answered at all
    bool was_connected = false;
    bool alive_before = false;
    monotonic_time opened_at;
    monotonic_time last_pong;
    monotonic_time unanswered_since; // oldest beat without a reply; zero: none
    std::int64_t incarnation = 0;
    std::uint64_t state_number = 0; // of the newest state that it has sent
    std::uint64_t told_number = 0;  // of the own state that was sent on this link last
    std::vector<cell_claim> claims;
    bool leaving = false;
    bool strained = false;
    std::int64_t config_version = -1;
};

struct instance_mesh::inbound {
    std::unique_ptr<frame_link> link;
    std::string name;
    std::uint64_t told_number = 0; // of the own state that was sent on this link last
};

instance_mesh::instance_mesh(poller& events, timer_service& timers, instance_address self)
    : on_message([](const std::string&, const Json::Value&, const sender&) {}), on_change([] {}),
      on_restart([](const std::string&) {}), on_reconnect([](const std::string&) {}),
      events_(events), timers_(timers), self_(std::move(self))
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

void instance_mesh::learn(const std::vector<instance_address>& instances)
{
    for (const auto& it : instances) {
        if (it.name == self_.name || it.name.empty()) {
            continue;
        }
        auto& entry = peers_[it.name];
        if (!entry) {
            entry = std::make_unique<peer>();
            entry->address = it;
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
        entry->address = it;
    }
}

void instance_mesh::introduce(const std::string& address)
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
        const auto message = parse_json(text);
        if (message && message.value()["t"].asString() == "instances") {
            learn(decode_instances(message.value()["instances"]));
        }
    };
    auto request = own_state();
    request["t"] = "instances_request";
    link->send(write_json(request));
    introductions_.emplace_back(timers_.monotonic_now(), std::move(link));
}

void instance_mesh::forget(std::string_view name)
{
    const auto it = peers_.find(name);
    if (it != peers_.end() && !is_alive(*it->second)) {
        log_event("instance_forgotten", "instance={}", name);
        peers_.erase(it);
    }
}

void instance_mesh::announce(std::vector<cell_claim> claims, bool leaving,
                             std::int64_t config_version)
{
    const bool changed = !std::ranges::equal(claims, claims_) || leaving != leaving_ ||
                         config_version != config_version_;
    claims_ = std::move(claims);
    leaving_ = leaving;
    config_version_ = config_version;
    if (changed) {
        ++state_number_;
        send_pings(); // a change of control must not wait for the next beat
    }
}

bool instance_mesh::send(std::string_view name, const Json::Value& message)
{
    const auto it = peers_.find(name);
    if (it == peers_.end() || !it->second->link || it->second->closed ||
        !it->second->link->is_connected()) {
        return false;
    }
    it->second->link->send(write_json(message));
    return true;
}

bool instance_mesh::is_alive(const peer& it) const
{
    if (it.refused || it.unreachable || it.last_pong == monotonic_time{}) {
        return false;
    }
    // After a pause of this process, its replies wait unread: the last check counts until the next.
    const auto as_of = std::min(timers_.monotonic_now(), checked_at_ + 2 * check_interval);
    return as_of - it.last_pong < silence_limit;
}

bool instance_mesh::owes_reply(const peer& it) const
{
    return it.unanswered_since != monotonic_time{} &&
           timers_.monotonic_now() - it.unanswered_since > reply_patience;
}

bool instance_mesh::owes_reply(std::string_view name) const
{
    const auto it = peers_.find(name);
    return it != peers_.end() && owes_reply(*it->second);
}

bool instance_mesh::hears(std::string_view name) const
{
    const auto it = heard_.find(name);
    return it != heard_.end() && timers_.monotonic_now() - it->second < silence_limit;
}

std::vector<instance_view> instance_mesh::views() const
{
    std::vector<instance_view> out;
    out.push_back({self_.name, self_.data_centre, self_.strength, true, leaving_, claims_,
                   strain_.is_strained()});
    const auto linked = candidates();
    for (const auto& [name, it] : peers_) {
        instance_view view{name,
                           it->address.data_centre,
                           it->address.strength,
                           is_alive(*it),
                           it->leaving,
                           it->claims,
                           it->strained};
        if (!linked.contains(name)) { // no own link: what it sends is all there is
            view.alive = hears(name);
            view.leaving = true; // it is no candidate
            view.claims.clear();
        }
        out.push_back(std::move(view));
    }
    return out;
}

std::vector<instance_address> instance_mesh::known() const
{
    std::vector<instance_address> out = {self_};
    for (const auto& [name, it] : peers_) {
        out.push_back(it->address);
    }
    return out;
}

bool instance_mesh::knows_state_of_all() const
{
    const auto linked = candidates();
    return std::ranges::all_of(peers_, [&](const auto& it) {
        const auto& peer = *it.second;
        return !linked.contains(it.first) || peer.refused || peer.unreachable || is_alive(peer);
    });
}

std::string instance_mesh::peer_with_newer_config(std::int64_t version) const
{
    for (const auto& [name, it] : peers_) {
        if (it->config_version > version && is_alive(*it)) {
            return name;
        }
    }
    return {};
}

std::set<std::string> instance_mesh::candidates() const
{
    std::set<std::string> out;
    if (peers_.size() + 1 <= full_mesh_size) {
        for (const auto& [name, it] : peers_) {
            out.insert(name);
        }
        return out;
    }
    std::map<std::string, std::vector<instance_view>> by_data_centre;
    for (const auto& it : known()) {
        by_data_centre[it.data_centre].push_back(
            {it.name, it.data_centre, it.strength, true, false, {}});
    }
    for (auto& row : by_data_centre) {
        auto& views = row.second;
        std::ranges::sort(views, [&row](const auto& a, const auto& b) {
            return cell_election::ranks_before(row.first, a, b);
        });
        for (std::size_t i = 0; i < views.size() && i < candidates_per_data_centre; ++i) {
            out.insert(views[i].name);
        }
    }
    out.erase(self_.name);
    return out;
}

Json::Value instance_mesh::own_state() const
{
    Json::Value message;
    message["from"] = encode_instance(self_);
    message["claims"] = encode_claims(claims_);
    message["number"] = Json::UInt64{state_number_};
    message["leaving"] = leaving_;
    message["strained"] = strain_.is_strained();
    message["config"] = Json::Int64{config_version_};
    return message;
}

void instance_mesh::check()
{
    check_timer_ = timers_.schedule(check_interval, [this] { check(); });
    const auto now = timers_.monotonic_now();
    const auto last = std::exchange(checked_at_, now);
    bool changed = false;
    if (last != monotonic_time{}) {
        const auto late = now - last - check_interval;
        if (late > check_interval) {
            excuse_pause(late);
        }
        changed = note_strain(late, now - last);
    }
    std::erase_if(introductions_,
                  [now](const auto& it) { return now - it.first > introduction_limit; });
    const auto linked = candidates();
    for (const auto& [name, it] : peers_) {
        if (!linked.contains(name)) {
            it->link.reset();
            it->probe.reset();
        }
        else {
            update_link(*it);
        }
        const bool alive = is_alive(*it);
        if (alive != it->alive_before) {
            it->alive_before = alive;
            changed = true;
            log_event(alive ? "instance_up" : "instance_down",
                      "instance={} refused={} unreachable={} silent_ms={}", name, it->refused,
                      it->unreachable, (now - it->last_pong).count() / 1000);
        }
    }
    if (checks_++ % checks_per_beat == 0) {
        send_pings();
    }
    if (changed) {
        on_change();
    }
}

// A beat or its reply. The state goes along only if it has changed since it was sent on the link,
// as beats are most of what idle instances say.
std::string instance_mesh::beat_text(const char* kind, std::uint64_t& told_number) const
{
    Json::Value beat;
    if (std::exchange(told_number, state_number_) != state_number_) {
        beat = own_state();
    }
    beat["t"] = kind;
    return write_json(beat);
}

void instance_mesh::send_pings()
{
    for (const auto& [name, it] : peers_) {
        if (it->link && !it->closed && it->link->is_connected()) {
            it->link->send(beat_text("ping", it->told_number));
            if (it->unanswered_since == monotonic_time{}) {
                it->unanswered_since = timers_.monotonic_now();
            }
        }
    }
}

// Returns true if it changes whether this instance is strained.
bool instance_mesh::note_strain(duration late, duration elapsed)
{
    const bool before = strain_.is_strained();
    strain_.note(late, elapsed, checked_at_);
    if (strain_.is_strained() == before) {
        return false;
    }
    log_event(before ? "strain_over" : "strained", "late_ms={} of_ms={}", late.count() / 1000,
              elapsed.count() / 1000);
    ++state_number_;
    send_pings(); // who controls what must not wait for the next beat
    return true;
}

// Replies wait unread after a pause of this process, so its time counts as nobody's silence. For
// the peers it did pass: what they may have given up meanwhile (`hears`) is not excused.
void instance_mesh::excuse_pause(duration pause)
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
        if (pause > silence_limit / 2) {
            it.closed = true; // the peer may have dropped what it was asked for on this link
        }
    }
}

// Replaces a link that is closed, silent or cannot be opened in time.
void instance_mesh::update_link(peer& it)
{
    const auto now = timers_.monotonic_now();
    if (!it.link || it.closed) {
        open(it);
        return;
    }
    if (!it.link->is_connected()) {
        if (now - it.opened_at > handshake_limit) {
            it.unreachable = true;
        }
        if (now - it.opened_at > connect_limit) {
            open(it);
        }
        return;
    }
    const auto silence = now - std::max(it.last_pong, it.opened_at);
    if (silence <= suspicion_limit) {
        it.probe.reset();
        return;
    }
    if (!it.probe) {
        probe(it);
        return;
    }
    it.unreachable = !it.probe->is_connected() && now - it.probed_at > handshake_limit;
    // A process that was only paused answers on both connections in one go.
    const bool broken =
        it.probe_answered_at != monotonic_time{} && now - it.probe_answered_at >= check_interval;
    if (it.unreachable || broken || silence > silence_limit) {
        log_event("link_given_up", "instance={} silent_ms={} unreachable={} probe_answered={}",
                  it.address.name, silence.count() / 1000, it.unreachable, broken);
        open(it);
    }
}

// A peer that has just been heard can be reached again: an attempt to connect from before, whose
// opening packet was lost, would be repeated by the system after a second only.
void instance_mesh::hurry_link(peer& it)
{
    if (it.link && !it.link->is_connected() &&
        timers_.monotonic_now() - it.opened_at > handshake_limit) {
        open(it);
    }
}

// Opens a second connection beside a silent link. It tells a lost machine, which does not open it,
// from a busy process, which does not reply, and from a broken link beside which it does.
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
    it.probe->on_connected = [this, own = &it] {
        std::uint64_t nothing_told = 0;
        own->probe->send(beat_text("ping", nothing_told));
    };
    it.probe->on_message = [this, own = &it](std::string_view) {
        own->probe_answered_at = timers_.monotonic_now();
    };
    it.probe->on_closed = [own = &it] { own->closed = true; };
}

void instance_mesh::open(peer& it)
{
    it.probe.reset();
    it.closed = false;
    it.was_connected = false;
    it.unanswered_since = {};
    it.opened_at = timers_.monotonic_now();
    auto stream = tcp_stream::connect(events_, it.address.address);
    if (!stream) {
        log_event("link_failed", "instance={} reason=\"{}\"", it.address.name,
                  stream.error().message);
        it.link.reset();
        return;
    }
    it.link = std::make_shared<frame_link>(stream.value());
    auto* own = &it;
    it.link->on_connected = [this, own] {
        own->was_connected = true;
        own->refused = false;
        own->unreachable = false;
        own->told_number = 0;
        own->link->send(beat_text("ping", own->told_number));
        on_reconnect(own->address.name);
    };
    it.link->on_message = [this, own](std::string_view text) {
        const auto message = parse_json(text);
        if (!message) {
            log_event("peer_message_unreadable", "instance={} reason=\"{}\"", own->address.name,
                      message.error().message);
            return;
        }
        if (message.value()["t"].asString() == "pong") {
            on_pong(*own, message.value());
            return;
        }
        on_message(own->address.name, message.value(), [](const Json::Value&) {});
    };
    it.link->on_closed = [this, own] {
        own->closed = true;
        const bool opened = own->was_connected;
        if (!opened) {
            // A reset of the opening packet: no process listens there.
            own->refused = true;
        }
        // A closed link says little; whether a new one opens tells if the process lives.
        timers_.schedule(duration::zero(),
                         [this, opened, name = own->address.name, alive = alive_] {
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

// Takes over what a peer says of itself, unless a newer message has already arrived on another
// link. Returns true if that changes who controls what.
bool instance_mesh::note_state(peer& it, const Json::Value& message)
{
    const auto from = decode_instance(message["from"]);
    const auto number = message["number"].asUInt64();
    if (from.incarnation < it.incarnation ||
        (from.incarnation == it.incarnation && number < it.state_number)) {
        return false;
    }
    const bool restarted = it.incarnation != 0 && from.incarnation != it.incarnation;
    it.incarnation = from.incarnation;
    it.state_number = number;
    it.address = from;
    auto claims = decode_claims(message["claims"]);
    const bool leaving = message["leaving"].asBool();
    const bool strained = message["strained"].asBool();
    const bool changed =
        leaving != it.leaving || strained != it.strained || !std::ranges::equal(claims, it.claims);
    it.claims = std::move(claims);
    it.leaving = leaving;
    it.strained = strained;
    it.config_version = message["config"].asInt64();
    if (restarted) {
        log_event("instance_restarted", "instance={}", from.name);
        on_restart(from.name);
    }
    return changed || restarted;
}

void instance_mesh::on_pong(peer& it, const Json::Value& message)
{
    it.last_pong = timers_.monotonic_now();
    it.refused = false;
    it.unreachable = false;
    const bool was_late = owes_reply(it);
    it.unanswered_since = {};
    const bool changed = message.isMember("from") && note_state(it, message);
    if (changed || was_late || !it.alive_before) {
        it.alive_before = true;
        on_change();
    }
}

void instance_mesh::accept(std::shared_ptr<tcp_stream> stream)
{
    const auto it = std::make_shared<inbound>();
    it->link = std::make_unique<frame_link>(std::move(stream));
    inbound_.insert(it);
    it->link->on_message = [this, own = it.get()](std::string_view text) {
        on_inbound(*own, text);
    };
    it->link->on_closed = [this, weak = std::weak_ptr(it)] {
        // Deferred: the link must not be destroyed from within its own handler.
        timers_.schedule(duration::zero(), [this, weak, alive = alive_] {
            if (const auto gone = *alive ? weak.lock() : nullptr) {
                inbound_.erase(gone);
            }
        });
    };
}

void instance_mesh::on_inbound(inbound& link, std::string_view text)
{
    const auto parsed = parse_json(text);
    if (!parsed) {
        log_event("peer_message_unreadable", "instance={} reason=\"{}\"", link.name,
                  parsed.error().message);
        return;
    }
    const auto& message = parsed.value();
    const auto kind = message["t"].asString();
    if (message.isMember("from")) {
        const auto from = decode_instance(message["from"]);
        link.name = from.name;
        learn({from});
        const auto known = peers_.find(from.name);
        if (known != peers_.end() && note_state(*known->second, message)) {
            on_change();
        }
    }
    if (const auto known = peers_.find(link.name); known != peers_.end()) {
        hurry_link(*known->second);
    }
    heard_[link.name] = timers_.monotonic_now();
    if (kind == "ping") {
        link.link->send(beat_text("pong", link.told_number));
        return;
    }
    if (kind == "instances_request") {
        Json::Value reply;
        reply["t"] = "instances";
        reply["instances"] = encode_instances(known());
        link.link->send(write_json(reply));
        return;
    }
    std::weak_ptr<inbound> weak;
    for (const auto& it : inbound_) {
        if (it.get() == &link) {
            weak = it;
        }
    }
    on_message(link.name, message, [weak](const Json::Value& reply) {
        if (const auto it = weak.lock()) {
            it->link->send(write_json(reply));
        }
    });
}

} // namespace cactusloom
