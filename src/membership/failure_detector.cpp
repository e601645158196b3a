#include "membership/failure_detector.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace cactusloom {
namespace {

// Table entries that a message repeats in addition to recent changes. They make up for lost
// messages at a fixed cost for any number of members.
constexpr std::size_t table_updates_per_message = 2;

// Stale entries of a peer that one reply corrects, so that room for queued updates remains.
constexpr std::size_t max_corrections = 4;

// Suspects and members with failed probes that are probed each period, besides the regular probe.
constexpr std::size_t max_unconfirmed_probes = 2;

// A dead member is pinged every so many periods, so that the sides of a long partition that
// declared each other dead find each other again without the platform's list.
constexpr std::uint64_t dead_probe_interval = 5;

// Each update is sent this many times the logarithm of the number of members, which reaches all of
// them with high probability in a push protocol.
constexpr unsigned retransmit_factor = 2;

// Number of sends that receiving the same update from a peer counts as. Such an update is widely
// known; without this, the updates of a simultaneous start fill the messages for minutes.
constexpr unsigned echo_weight = 2;

// Members that leave() notifies directly.
constexpr std::size_t max_leave_messages = 5;

// Seed peers pinged each period until one replies. A stale list may name many that are gone.
constexpr unsigned seed_pings_while_joining = 4;

// Further flaps of a member do not lengthen its suspicion any more.
constexpr unsigned max_flaps = 3;

} // namespace

failure_detector::failure_detector(timer_service& timers, peer_transport& transport, member self,
                                   std::uint32_t seed, failure_detector_settings settings)
    : timers_(timers), transport_(transport), settings_(settings), table_(std::move(self)),
      partition_detector_(settings.period * settings.suspicion_periods),
      random_(seed ^ static_cast<std::uint32_t>(hash64(table_.self().name))),
      alive_(std::make_shared<failure_detector*>(this))
{
    assert(!table_.self().name.empty());
}

failure_detector::~failure_detector()
{
    timers_.cancel(tick_timer_);
}

void failure_detector::start()
{
    last_tick_ = timers_.monotonic_now();
    // A random phase keeps instances that start together from pinging at the same time.
    const auto phase =
        duration{draw_below(random_, static_cast<std::uint32_t>(settings_.period.count()))};
    tick_timer_ = timers_.schedule(phase, [this] { tick(); });
}

void failure_detector::set_seed_peers(std::vector<seed_peer> seed_peers)
{
    seed_peers_ = std::move(seed_peers);
    // Instances that start together would otherwise all copy the table of the list's first entry.
    seed_cursor_ = seed_peers_.empty()
                       ? 0
                       : draw_below(random_, static_cast<std::uint32_t>(seed_peers_.size()));
    std::erase_if(seed_attempts_, [this](const auto& it) {
        return std::none_of(seed_peers_.begin(), seed_peers_.end(),
                            [&](const seed_peer& seed) { return seed.name == it.first; });
    });
}

void failure_detector::set_summary(std::string summary)
{
    assert(summary.size() <= max_summary_bytes);
    summary_ = std::move(summary);
}

void failure_detector::set_weight(double weight)
{
    auto& self = table_.self();
    if (self.weight != weight) {
        self.weight = weight;
        ++self.refutation;
        queue_update(self.name);
    }
}

void failure_detector::announce_leaving()
{
    auto& self = table_.self();
    if (!self.leaving) {
        self.leaving = true;
        ++self.refutation;
        queue_update(self.name);
    }
}

void failure_detector::leave(std::function<void()> done)
{
    timers_.cancel(tick_timer_);
    stopped_ = true;
    auto& self = table_.self();
    self.leaving = true;
    self.state = member_state::left;
    ++self.refutation;

    std::vector<std::string> names;
    for (const auto& [name, entry] : table_.others()) {
        if (entry.info.state == member_state::alive &&
            table_.is_reachable(entry.info.data_centre)) {
            names.push_back(name);
        }
    }
    const auto n = std::min(names.size(), max_leave_messages);
    for (std::size_t i = 0; i < n; ++i) {
        const auto rest = static_cast<std::uint32_t>(names.size() - i);
        std::swap(names[i], names[i + draw_below(random_, rest)]);
    }
    names.resize(n);
    if (names.empty()) {
        timers_.schedule(duration::zero(), std::move(done));
        return;
    }
    auto pending_replies = std::make_shared<std::size_t>(n);
    auto finish = std::make_shared<std::function<void()>>(std::move(done));
    for (const auto& name : names) {
        ping(table_.find(name)->info.address, name, [pending_replies, finish](const auto&) {
            if (--*pending_replies == 0) {
                (*finish)();
            }
        });
    }
}

void failure_detector::tick()
{
    const auto now = timers_.monotonic_now();
    const auto elapsed = now - last_tick_;
    last_tick_ = now;
    tick_timer_ = timers_.schedule(settings_.period, [this] { tick(); });
    if (elapsed > 2 * settings_.period) {
        extend_after_pause(elapsed);
    }
    ++ticks_;
    expire_suspicions();
    remove_expired();
    probe_next();
    probe_unconfirmed();
    probe_suspect_data_centres();
    probe_seeds();
}

// Missing replies prove nothing after a pause of this process, so suspicions are extended by the
// lost time and failed probes are cleared.
void failure_detector::extend_after_pause(duration lost)
{
    for (auto& [name, entry] : table_.others()) {
        if (entry.info.state == member_state::suspect) {
            entry.suspicion_deadline += lost;
        }
        entry.failed_probes = 0;
    }
}

void failure_detector::expire_suspicions()
{
    const auto now = timers_.monotonic_now();
    struct count {
        std::size_t live = 0;
        std::size_t suspects = 0;
    };
    std::map<std::string, count, std::less<>> counts;
    std::vector<member_entry*> expired;
    for (auto& [name, entry] : table_.others()) {
        if (!is_live(entry.info.state)) {
            continue;
        }
        auto& it = counts[entry.info.data_centre];
        ++it.live;
        if (entry.info.state == member_state::suspect) {
            ++it.suspects;
            if (entry.suspicion_deadline <= now) {
                expired.push_back(&entry);
            }
        }
    }
    const bool isolated = table_.live_count() > 2 && !partition_detector_.any_recent_contact(now);
    for (auto* entry : expired) {
        const auto& data_centre = entry->info.data_centre;
        if (partition_detector_.is_partitioned(data_centre)) {
            if (partition_detector_.partitioned_for(data_centre, now) >
                settings_.partition_retention) {
                declare_dead(*entry);
            }
            continue;
        }
        const auto& it = counts[data_centre];
        // This instance itself is a responsive member of its own data centre.
        const bool is_own = data_centre == table_.self().data_centre;
        switch (is_own ? partition_detector::verdict::members_died
                       : partition_detector_.classify(data_centre, it.live, it.suspects, now)) {
        case partition_detector::verdict::members_died:
            // Without a failed probe of our own the suspicion is only relayed; the next period
            // probes the member. An instance without any contact is itself partitioned and declares
            // no member dead.
            if (!isolated && entry->failed_probes > 0) {
                declare_dead(*entry);
            }
            break;
        case partition_detector::verdict::partitioned:
            partition_detector_.mark_partitioned(data_centre, now);
            table_.set_reachable(data_centre, false);
            for (const auto& fn : reachability_callbacks_) {
                fn(data_centre, false);
            }
            break;
        case partition_detector::verdict::undecided:
            break;
        }
    }
}

void failure_detector::remove_expired()
{
    const auto now = timers_.monotonic_now();
    for (auto& [name, entry] : table_.others()) {
        if (entry.flap_count > 0 && now - entry.last_flap > settings_.flap_reset_interval) {
            entry.flap_count = 0;
        }
    }
    std::erase_if(table_.others(), [&](const auto& it) {
        return !is_live(it.second.info.state) &&
               now - it.second.state_changed_at > settings_.dead_retention;
    });
}

// Shuffled round-robin: every member is probed once a round, so the time until some instance
// detects a dead member is bounded.
void failure_detector::probe_next()
{
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!probe_round_.empty()) {
            const auto name = std::move(probe_round_.back());
            probe_round_.pop_back();
            const auto* entry = table_.find(name);
            if (entry != nullptr && is_live(entry->info.state)) {
                probe_member(name);
                return;
            }
        }
        for (const auto& [name, entry] : table_.others()) {
            if (is_live(entry.info.state)) {
                probe_round_.push_back(name);
            }
        }
        for (std::size_t i = probe_round_.size(); i > 1; --i) {
            std::swap(probe_round_[i - 1],
                      probe_round_[draw_below(random_, static_cast<std::uint32_t>(i))]);
        }
    }
}

// Probes suspects and members with failed probes again, fewest failures and longest without contact
// first. The ping itself carries the suspicion, which a live suspect refutes in its reply.
void failure_detector::probe_unconfirmed()
{
    std::vector<const member_entry*> unconfirmed;
    for (const auto& [name, entry] : table_.others()) {
        if (is_live(entry.info.state) &&
            (entry.info.state == member_state::suspect || entry.failed_probes > 0) &&
            table_.is_reachable(entry.info.data_centre)) {
            unconfirmed.push_back(&entry);
        }
    }
    // Members without a failed probe of our own go first: their suspicion is only relayed so far.
    std::sort(unconfirmed.begin(), unconfirmed.end(), [](const auto* a, const auto* b) {
        return std::pair(a->failed_probes, a->last_contact) <
               std::pair(b->failed_probes, b->last_contact);
    });
    for (std::size_t i = 0; i < std::min(unconfirmed.size(), max_unconfirmed_probes); ++i) {
        probe_member(unconfirmed[i]->info.name);
    }
}

// Pings another member of a suspect's data centre, to tell a death from a partition before the
// suspicion expires.
void failure_detector::probe_suspect_data_centres()
{
    std::vector<std::string_view> suspect_data_centres;
    for (const auto& [name, entry] : table_.others()) {
        if (entry.info.state == member_state::suspect &&
            table_.is_reachable(entry.info.data_centre) &&
            std::find(suspect_data_centres.begin(), suspect_data_centres.end(),
                      entry.info.data_centre) == suspect_data_centres.end()) {
            suspect_data_centres.emplace_back(entry.info.data_centre);
        }
    }
    if (suspect_data_centres.empty()) {
        return;
    }
    const auto data_centre = suspect_data_centres[ticks_ % suspect_data_centres.size()];
    std::vector<const std::string*> names;
    for (const auto& [name, entry] : table_.others()) {
        if (entry.info.state == member_state::alive && entry.failed_probes == 0 &&
            entry.info.data_centre == data_centre) {
            names.push_back(&name);
        }
    }
    if (!names.empty()) {
        probe_member(*names[draw_below(random_, static_cast<std::uint32_t>(names.size()))]);
    }
}

void failure_detector::probe_seeds()
{
    const auto now = timers_.monotonic_now();
    auto budget = joined_ ? 1U : seed_pings_while_joining;
    for (std::size_t i = 0; i < seed_peers_.size() && budget > 0; ++i) {
        const auto& seed = seed_peers_[seed_cursor_++ % seed_peers_.size()];
        if (seed.name == table_.self().name || table_.find(seed.name) != nullptr) {
            continue;
        }
        const auto last_attempt = seed_attempts_.find(seed.name);
        if (last_attempt != seed_attempts_.end() &&
            now - last_attempt->second < settings_.seed_retry_interval) {
            continue;
        }
        seed_attempts_[seed.name] = now;
        ping(seed.address, seed.name, [](const auto&) {});
        --budget;
    }
    if (ticks_ % dead_probe_interval != 0) {
        return;
    }
    std::vector<const member*> dead;
    for (const auto& [name, entry] : table_.others()) {
        if (entry.info.state == member_state::dead) {
            dead.push_back(&entry.info);
        }
    }
    if (!dead.empty()) {
        const auto* it = dead[draw_below(random_, static_cast<std::uint32_t>(dead.size()))];
        ping(it->address, it->name, [](const auto&) {});
    }
}

void failure_detector::send(std::string_view address, membership_request request, duration limit,
                            reply_handler done)
{
    request.id = ++last_request_;
    auto text = encode_request(request);
    ++traffic_.messages_sent;
    traffic_.bytes_sent += text.size();
    transport_.send(address, std::move(text), limit,
                    [weak = std::weak_ptr(alive_), id = request.id,
                     is_table_copy = request.after.has_value(),
                     done = std::move(done)](result<std::string> reply) {
                        const auto alive = weak.lock();
                        if (!alive) {
                            return;
                        }
                        auto& self = **alive;
                        if (!reply) {
                            done(reply.as_failure());
                            return;
                        }
                        ++self.traffic_.messages_received;
                        self.traffic_.bytes_received += reply.value().size();
                        auto decoded = decode_reply(reply.value());
                        if (!decoded || decoded.value().id != id) {
                            ++self.traffic_.rejected;
                            done(failure(errc::invalid_argument, "reply does not fit the request"));
                            return;
                        }
                        self.receive(decoded.value().gossip, is_table_copy);
                        done(std::move(decoded));
                    });
}

void failure_detector::ping(std::string_view address, std::string_view name, reply_handler done)
{
    membership_request request;
    request.gossip = make_gossip(name);
    request.target = name;
    send(address, std::move(request), settings_.ping_timeout, std::move(done));
}

void failure_detector::probe_member(const std::string& name)
{
    const auto& entry = *table_.find(name);
    auto it = std::make_shared<probe>(probe{name, entry.info.incarnation, 0, false});
    const auto sent = timers_.monotonic_now();
    ping(entry.info.address, name, [this, it, sent](const result<membership_reply>& reply) {
        // The address may have been reassigned to another instance, whose reply proves nothing.
        if (reply && reply.value().gossip.from.name == it->name) {
            finish_probe(*it, true);
        }
        else if (!was_paused(sent, settings_.ping_timeout)) {
            probe_indirectly(it);
        }
    });
}

void failure_detector::probe_indirectly(const std::shared_ptr<probe>& it)
{
    const auto* entry = table_.find(it->name);
    if (stopped_ || entry == nullptr) {
        return;
    }
    // Indirect probes into a partitioned data centre would cost six messages a period for hours
    // without new information.
    const auto probers = table_.is_reachable(entry->info.data_centre)
                             ? choose_indirect_probers(entry->info)
                             : std::vector<std::string>{};
    if (probers.empty()) {
        finish_probe(*it, false);
        return;
    }
    it->pending_replies = static_cast<unsigned>(probers.size());
    const auto sent = timers_.monotonic_now();
    for (const auto& prober : probers) {
        membership_request request;
        request.call = membership_request::method::ping_request;
        request.gossip = make_gossip(prober);
        request.target = it->name;
        request.target_address = entry->info.address;
        send(table_.find(prober)->info.address, std::move(request), settings_.indirect_timeout,
             [this, it, sent](const result<membership_reply>& reply) {
                 --it->pending_replies;
                 if (reply && reply.value().reached) {
                     if (reply.value().target && reply.value().target->name == it->name) {
                         apply(*reply.value().target, update_source::first_hand);
                     }
                     if (!it->reached) {
                         it->reached = true;
                         finish_probe(*it, true);
                     }
                 }
                 else if (it->pending_replies == 0 && !it->reached &&
                          !was_paused(sent, settings_.indirect_timeout)) {
                     finish_probe(*it, false);
                 }
             });
    }
}

void failure_detector::finish_probe(const probe& it, bool reached)
{
    auto* entry = table_.find(it.name);
    if (entry == nullptr || entry->info.incarnation != it.incarnation) {
        return;
    }
    if (reached) {
        record_contact(it.name);
        return;
    }
    partition_detector_.record_failed_probe(entry->info.data_centre);
    ++entry->failed_probes;
    if (entry->info.state == member_state::alive &&
        entry->failed_probes > tolerated_failures(*entry)) {
        suspect(*entry);
    }
}

// Reads the whole table of a member page by page in order of name, so that messages stay bounded.
void failure_detector::copy_table(const std::string& address, const std::string& name,
                                  const std::string& after)
{
    joining_ = true;
    membership_request request;
    request.gossip = make_gossip(name);
    request.target = name;
    request.after = after;
    send(address, std::move(request), settings_.ping_timeout,
         [this, address, name, after](const result<membership_reply>& reply) {
             if (!reply) {
                 joining_ = false; // the next contact starts the copy again
                 return;
             }
             const auto& updates = reply.value().gossip.updates;
             if (updates.size() < max_updates_per_message || updates.back().name <= after) {
                 joined_ = true;
                 joining_ = false;
                 return;
             }
             copy_table(address, name, updates.back().name);
         });
}

void failure_detector::handle(std::string_view text, reply_callback reply)
{
    ++traffic_.messages_received;
    traffic_.bytes_received += text.size();
    const auto answer = [this](const reply_callback& to, std::string content) {
        ++traffic_.messages_sent;
        traffic_.bytes_sent += content.size();
        to(std::move(content));
    };
    auto decoded = decode_request(text);
    if (!decoded) {
        ++traffic_.rejected;
        const int code = decoded.error().code == errc::not_found ? -32601 : -32600;
        answer(reply, encode_rpc_error(0, code, decoded.error().message));
        return;
    }
    const auto& request = decoded.value();
    receive(request.gossip, false);
    if (request.call == membership_request::method::ping) {
        membership_reply out;
        out.id = request.id;
        out.gossip =
            request.after ? make_page(*request.after) : make_gossip(request.gossip.from.name);
        add_successor(request.gossip.from, out.gossip);
        answer(reply, encode_reply(out));
        return;
    }
    ping(request.target_address, request.target,
         [this, answer, id = request.id, requester = request.gossip.from.name,
          target = request.target,
          reply = std::move(reply)](const result<membership_reply>& found) {
             membership_reply out;
             out.id = id;
             out.gossip = make_gossip(requester);
             out.reached = found && found.value().gossip.from.name == target;
             if (out.reached) {
                 out.target = found.value().gossip.from;
             }
             answer(reply, encode_reply(out));
         });
}

void failure_detector::receive(const gossip_payload& gossip, bool is_table_copy)
{
    // The others already know the entries of a table copy. Gossiping them again from every joining
    // instance would fill the messages for minutes.
    const auto source = is_table_copy ? update_source::table_copy : update_source::relayed;
    stale_at_sender_.clear();
    for (const auto& update : gossip.updates) {
        apply(update, source);
    }
    apply(gossip.from, update_source::first_hand);
    if (gossip.from.name == table_.self().name) {
        return;
    }
    const auto* entry = table_.find(gossip.from.name);
    if (entry == nullptr || entry->info.incarnation != gossip.from.incarnation) {
        return;
    }
    record_contact(gossip.from.name);
    if (!gossip.summary.empty()) {
        table_.find(gossip.from.name)->summary = gossip.summary;
        for (const auto& fn : summary_callbacks_) {
            fn(gossip.from, gossip.summary);
        }
    }
    if (!joined_ && !joining_ && !stopped_ && gossip.from.state == member_state::alive) {
        copy_table(gossip.from.address, gossip.from.name, "");
    }
}

void failure_detector::apply(const member& update, update_source from)
{
    if (update.name == table_.self().name) {
        refute(update);
        return;
    }
    const auto* known = table_.find(update.name);
    if (from != update_source::first_hand) {
        // A relayed death in a partitioned data centre cannot come from its members.
        if (update.state == member_state::dead && known != nullptr &&
            partition_detector_.is_partitioned(known->info.data_centre)) {
            return;
        }
        // An unknown member that is dead or has left needs no entry.
        if (known == nullptr && !is_live(update.state)) {
            return;
        }
    }
    if (const auto change = table_.apply(update, timers_.monotonic_now())) {
        auto& entry = *table_.find(update.name);
        if (entry.info.state == member_state::suspect) {
            entry.suspicion_deadline = timers_.monotonic_now() + suspicion_time(entry);
        }
        if (from != update_source::table_copy) {
            queue_update(update.name);
        }
        notify_change(*change);
    }
    else if (from == update_source::relayed && known != nullptr &&
             supersedes(known->info, update)) {
        if (stale_at_sender_.size() < max_corrections) {
            stale_at_sender_.push_back(update.name);
        }
    }
    else if (from == update_source::relayed && known != nullptr && known->info == update) {
        const auto it = std::find_if(update_queue_.begin(), update_queue_.end(),
                                     [&](const queued_update& r) { return r.name == update.name; });
        if (it != update_queue_.end()) {
            it->sent += echo_weight;
        }
    }
}

void failure_detector::record_contact(std::string_view name)
{
    auto& entry = *table_.find(name);
    const auto now = timers_.monotonic_now();
    entry.last_contact = now;
    entry.has_contact = true;
    entry.failed_probes = 0;
    const auto& data_centre = entry.info.data_centre;
    if (!partition_detector_.record_contact(data_centre, now)) {
        return;
    }
    const bool was_cut_off = !table_.is_reachable(data_centre);
    table_.set_reachable(data_centre, true);
    for (auto& [other, it] : table_.others()) {
        if (it.info.data_centre == data_centre && it.info.state == member_state::suspect) {
            it.failed_probes = 0;
            it.suspicion_deadline = now + suspicion_time(it);
        }
    }
    for (const auto& fn : reachability_callbacks_) {
        if (was_cut_off) {
            fn(data_centre, true);
        }
    }
}

void failure_detector::suspect(member_entry& entry)
{
    auto update = entry.info;
    update.state = member_state::suspect;
    apply(update, update_source::relayed);
}

void failure_detector::declare_dead(member_entry& entry)
{
    auto update = entry.info;
    update.state = member_state::dead;
    apply(update, update_source::first_hand);
}

// Refutes an update about this instance. Of two processes with one name, the one with the earlier
// incarnation is superseded.
void failure_detector::refute(const member& claim)
{
    auto& self = table_.self();
    if (claim.incarnation > self.incarnation) {
        superseded_ = true;
        return;
    }
    if (stopped_) {
        return;
    }
    if (claim.incarnation < self.incarnation || claim.state == member_state::left) {
        queue_update(self.name);
        return;
    }
    if (supersedes(claim, self)) {
        self.refutation = claim.refutation + 1;
        queue_update(self.name);
    }
}

void failure_detector::queue_update(std::string_view name)
{
    std::erase_if(update_queue_, [&](const queued_update& it) { return it.name == name; });
    update_queue_.push_back({std::string(name), 0});
}

unsigned failure_detector::retransmit_limit() const
{
    return retransmit_factor * static_cast<unsigned>(std::bit_width(table_.live_count()));
}

gossip_payload failure_detector::make_gossip(std::string_view receiver)
{
    gossip_payload gossip{table_.self(), summary_, {}};
    const auto add = [&](std::string_view name) {
        // The sender's entry is in every message, and the receiver knows its own.
        if (name == table_.self().name || name == receiver) {
            return false;
        }
        const auto* entry = table_.find(name);
        if (entry == nullptr) {
            return false;
        }
        gossip.updates.push_back(entry->info);
        return true;
    };
    // The receiver's own entry comes first if it is not alive, so that it can refute it.
    const auto* known_receiver = table_.find(receiver);
    if (known_receiver != nullptr && known_receiver->info.state != member_state::alive) {
        gossip.updates.push_back(known_receiver->info);
    }
    // A peer that sent stale entries gets the current ones in the next message, the reply.
    for (const auto& name : std::exchange(stale_at_sender_, {})) {
        const bool already = !gossip.updates.empty() && gossip.updates.front().name == name;
        if (!already) {
            add(name);
        }
    }
    const auto is_named = [&](std::string_view name) {
        return std::any_of(gossip.updates.begin(), gossip.updates.end(),
                           [&](const member& update) { return update.name == name; });
    };
    // Least sent first; a stable order keeps newer changes behind older ones of equal count.
    std::stable_sort(
        update_queue_.begin(), update_queue_.end(),
        [](const queued_update& a, const queued_update& b) { return a.sent < b.sent; });
    const auto limit = retransmit_limit();
    for (auto& it : update_queue_) {
        if (gossip.updates.size() >= max_updates_per_message) {
            break;
        }
        if (it.name == table_.self().name) {
            ++it.sent;
            continue;
        }
        if (it.name == receiver || is_named(it.name)) {
            continue;
        }
        it.sent += add(it.name) ? 1 : limit;
    }
    std::erase_if(update_queue_, [&](const queued_update& it) { return it.sent >= limit; });

    const auto& others = table_.others();
    const auto free_slots =
        std::min(table_updates_per_message, max_updates_per_message - gossip.updates.size());
    for (std::size_t i = 0; i < free_slots && !others.empty(); ++i) {
        auto it = others.upper_bound(repeat_cursor_);
        if (it == others.end()) {
            it = others.begin();
        }
        repeat_cursor_ = it->first;
        // Dead and departed members are repeated as well: an instance that missed the leave notice
        // would keep the member until its own probes fail.
        if (!is_named(it->first)) {
            add(it->first);
        }
    }
    return gossip;
}

// Tells an earlier process whose name has been taken over about its successor in the first reply.
void failure_detector::add_successor(const member& sender, gossip_payload& gossip) const
{
    const auto* entry = table_.find(sender.name);
    if (entry != nullptr && entry->info.incarnation > sender.incarnation) {
        if (gossip.updates.size() == max_updates_per_message) {
            gossip.updates.pop_back();
        }
        gossip.updates.push_back(entry->info);
    }
}

gossip_payload failure_detector::make_page(std::string_view after) const
{
    gossip_payload page{table_.self(), summary_, {}};
    for (auto it = table_.others().upper_bound(after);
         it != table_.others().end() && page.updates.size() < max_updates_per_message; ++it) {
        page.updates.push_back(it->second.info);
    }
    return page;
}

void failure_detector::notify_change(const member_change& change)
{
    for (const auto& fn : change_callbacks_) {
        fn(change);
    }
}

// One prober is in the target's own data centre if possible: it can tell a dead member from a
// partition between data centres.
std::vector<std::string> failure_detector::choose_indirect_probers(const member& target)
{
    std::vector<std::string> same_data_centre;
    std::vector<std::string> names;
    for (const auto& [name, entry] : table_.others()) {
        if (entry.info.state == member_state::alive && entry.failed_probes == 0 &&
            name != target.name && table_.is_reachable(entry.info.data_centre)) {
            (entry.info.data_centre == target.data_centre ? same_data_centre : names)
                .push_back(name);
        }
    }
    std::vector<std::string> probers;
    const auto draw = [&](std::vector<std::string>& from) {
        const auto i = draw_below(random_, static_cast<std::uint32_t>(from.size()));
        probers.push_back(std::move(from[i]));
        from.erase(from.begin() + i);
    };
    if (!same_data_centre.empty()) {
        draw(same_data_centre);
    }
    names.insert(names.end(), same_data_centre.begin(), same_data_centre.end());
    while (probers.size() < settings_.indirect_peers && !names.empty()) {
        draw(names);
    }
    return probers;
}

// A member that returned from suspect or dead gets a longer suspicion the next time, so that a
// flapping link does not toggle its state.
duration failure_detector::suspicion_time(const member_entry& entry) const
{
    return settings_.period * settings_.suspicion_periods *
           (1 + std::min(entry.flap_count, max_flaps));
}

unsigned failure_detector::tolerated_failures(const member_entry& entry) const
{
    return 2 * std::min(entry.flap_count, max_flaps);
}

// A timeout that is reported much later than its limit means that this process was paused.
bool failure_detector::was_paused(monotonic_time sent, duration limit) const
{
    return timers_.monotonic_now() - sent > limit + settings_.period / 2;
}

} // namespace cactusloom
