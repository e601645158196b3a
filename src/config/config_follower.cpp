#include "config/config_follower.h"

#include "base/hash.h"
#include "base/log.h"
#include "config/config_record_codec.h"

#include <algorithm>
#include <cassert>

namespace cactusloom {
namespace {

// A written snapshot is read with the next poll; until then another one is not needed.
constexpr auto min_snapshot_interval = std::chrono::seconds{30};

// Base of the exponential backoff of polls and edits.
constexpr auto backoff_base = std::chrono::milliseconds{500};

} // namespace

const char* to_string(config_log_state state)
{
    switch (state) {
    case config_log_state::unknown:
        return "unknown";
    case config_log_state::following:
        return "following";
    case config_log_state::down:
        return "down";
    case config_log_state::regressed:
        return "log_regressed";
    case config_log_state::gap:
        return "gap";
    }
    return "unknown";
}

config_follower::config_follower(log_service& log, timer_service& timers, config_peer_source* peers,
                                 config_follower_options options)
    : log_(log), timers_(timers), peers_(peers), options_(std::move(options)),
      random_(static_cast<std::uint32_t>(hash64("config_follower", options_.seed)))
{
}

config_follower::~config_follower()
{
    *alive_ = false;
    timers_.cancel(poll_timer_);
    timers_.cancel(read_timer_);
    timers_.cancel(peer_timer_);
    timers_.cancel(snapshot_timer_);
    for (const auto& [id, edit] : edits_) {
        timers_.cancel(edit.timer);
    }
}

void config_follower::start()
{
    peers_answered_ = peers_ == nullptr;
    fetch_peer_states();
    poll_after(duration::zero());
}

void config_follower::subscribe(subscriber fn)
{
    if (is_ready()) {
        fn(in_force_);
    }
    subscribers_.push_back(std::move(fn));
}

// Reading.

void config_follower::poll_after(duration delay)
{
    timers_.cancel(poll_timer_);
    poll_timer_ = timers_.schedule(delay, [this] { poll(); });
}

void config_follower::poll()
{
    if (poll_in_flight_) {
        poll_requested_ = true;
        return;
    }
    poll_in_flight_ = true;
    poll_start_ = state_machine_.next_offset();
    const auto now = timers_.monotonic_now();
    poll_verifies_ =
        !scan_ && poll_start_ > 0 &&
        (unverified_page_ || !verified_at_ || now - *verified_at_ >= options_.verify_interval);
    const auto number = ++poll_number_;
    const auto on_reply = [this, alive = alive_, number](const result<log_page>& reply) {
        if (*alive) {
            on_read(number, reply);
        }
    };
    read_timer_ = timers_.schedule(options_.read_timeout, [this] {
        poll_in_flight_ = false;
        on_read_failed("no reply to a read of the log");
    });
    if (poll_verifies_) {
        log_.read(options_.stream, poll_start_ - 1, 1, on_reply);
    }
    else {
        log_.read(options_.stream, scan_ ? scan_->next : poll_start_, options_.records_per_read,
                  on_reply);
    }
}

void config_follower::on_read(std::uint64_t poll_number, const result<log_page>& reply)
{
    // A reply after the timeout is dropped: it may be older than what has been read since.
    if (!poll_in_flight_ || poll_number != poll_number_) {
        return;
    }
    poll_in_flight_ = false;
    timers_.cancel(read_timer_);
    if (!reply) {
        on_read_failed(reply.error().message);
        return;
    }
    failed_polls_ = 0;
    if (state_machine_.next_offset() != poll_start_) {
        // State was adopted from a peer meanwhile, so the page no longer follows it.
        unverified_page_.reset();
        poll_after(duration::zero());
        return;
    }
    handle_page(reply.value());
    if (std::exchange(poll_requested_, false)) {
        poll_after(duration::zero());
    }
    put_in_force();
    finish_edits();
    schedule_snapshot();
}

void config_follower::on_read_failed(std::string_view reason)
{
    unverified_page_.reset();
    poll_requested_ = false;
    log_failed_ = true;
    // A regression stays reported until the last known record is back.
    if (log_state_ != config_log_state::regressed) {
        set_log_state(config_log_state::down, reason);
        fetch_peer_states();
    }
    constexpr std::uint32_t max_doublings = 8;
    failed_polls_ = std::min(failed_polls_ + 1, max_doublings);
    poll_after(
        jittered(std::min<duration>(options_.max_backoff, backoff_base * (1U << failed_polls_))));
    put_in_force();
}

void config_follower::handle_page(const log_page& page)
{
    first_retained_ = page.first_retained;
    if (page.end < state_machine_.next_offset()) {
        report_regression("the log ends before the last known record");
    }
    else if (poll_verifies_) {
        verify_known_record(page);
    }
    else {
        handle_new_records(page);
    }
}

bool config_follower::can_verify_known_record(const log_page& page) const
{
    return state_machine_.next_offset() > 0 && page.first_retained < state_machine_.next_offset();
}

void config_follower::verify_known_record(const log_page& page)
{
    const auto known = state_machine_.next_offset() - 1;
    if (can_verify_known_record(page)) {
        if (page.records.empty() || page.records.front().offset != known ||
            hash64(page.records.front().content) != state_machine_.last_digest()) {
            report_regression("the log has other content at the last known offset");
            return;
        }
        if (log_state_ == config_log_state::regressed) {
            set_log_state(config_log_state::unknown, "the last known record is back");
        }
    }
    else if (log_state_ == config_log_state::regressed) {
        report_regression("the last known record has been dropped");
        return;
    }
    verified_at_ = timers_.monotonic_now();
    if (unverified_page_) {
        handle_new_records(*std::exchange(unverified_page_, std::nullopt));
    }
    else {
        finish_page(known + 1, page.end);
    }
}

void config_follower::handle_new_records(const log_page& page)
{
    // Pages read in succession need one verification only.
    constexpr auto verification_validity = std::chrono::milliseconds{100};
    const auto now = timers_.monotonic_now();
    const auto next = state_machine_.next_offset();
    const bool is_verified = verified_at_ && now - *verified_at_ < verification_validity;
    if (scan_ || page.first_retained > next || start_tail_scan(page)) {
        scan_page(page);
        return;
    }
    if (!page.records.empty() && !is_verified && can_verify_known_record(page)) {
        unverified_page_ = page;
        poll_after(duration::zero());
        return;
    }
    apply_records(page);
    if (!page.records.empty()) {
        verified_at_ = now;
    }
    finish_page(state_machine_.next_offset(), page.end);
}

void config_follower::finish_page(log_offset reached, log_offset end)
{
    if (reached < end) {
        poll_after(duration::zero());
        return;
    }
    log_read_to_end_ = true;
    set_log_state(config_log_state::following, "");
    poll_after(options_.poll_interval);
}

void config_follower::report_regression(std::string_view reason)
{
    scan_.reset();
    unverified_page_.reset();
    verified_at_.reset();
    log_failed_ = true;
    set_log_state(config_log_state::regressed, reason);
    poll_after(options_.poll_interval);
}

void config_follower::apply_records(const log_page& page)
{
    for (const auto& it : page.records) {
        if (it.offset == state_machine_.next_offset()) {
            count(state_machine_.apply(it));
        }
    }
}

// Without any state, a long log is read only near its end, where snapshots are, which bounds a cold
// start.
bool config_follower::start_tail_scan(const log_page& page)
{
    const auto span = 2 * options_.records_between_snapshots;
    if (tail_scanned_ || state_machine_.next_offset() > 0 ||
        page.end - page.first_retained <= span) {
        return false;
    }
    tail_scanned_ = true;
    scan_ = scan{page.end - span, page.end - span, {}, std::nullopt};
    return true;
}

void config_follower::scan_page(const log_page& page)
{
    // Records dropped during the scan leave a gap in the buffer, so the scan starts again.
    if (!scan_ || page.first_retained > scan_->next) {
        scan_ = scan{page.first_retained, page.first_retained, {}, std::nullopt};
    }
    for (const auto& it : page.records) {
        if (it.offset == scan_->next) {
            scan_record(it);
            ++scan_->next;
        }
    }
    if (scan_->next < page.end) {
        poll_after(duration::zero());
    }
    else {
        end_scan();
    }
}

void config_follower::end_scan()
{
    if (scan_->candidate) {
        auto candidate = std::move(*scan_->candidate);
        scan_.reset();
        if (adopt(std::move(candidate), "snapshot")) {
            verified_at_ = timers_.monotonic_now();
            finish_page(state_machine_.next_offset(), state_machine_.next_offset());
        }
        else {
            report_regression("a snapshot contradicts the known state");
        }
        return;
    }
    if (scan_->start > first_retained_) {
        // No snapshot near the end, so all retained records are read.
        scan_.reset();
        poll_after(duration::zero());
        return;
    }
    log_failed_ = true;
    set_log_state(config_log_state::gap, "needed records are gone and there is no snapshot");
    fetch_peer_states();
    poll_after(options_.poll_interval);
}

void config_follower::scan_record(const log_record& record)
{
    if (scan_->candidate) {
        count(scan_->candidate->apply(record));
        return;
    }
    scan_->buffered.push_back(record);
    const auto decoded = decode_config_record(record.content);
    const auto* snapshot = decoded ? std::get_if<config_snapshot>(&decoded.value()) : nullptr;
    if (snapshot == nullptr || snapshot->next < scan_->start || snapshot->next > record.offset) {
        return;
    }
    auto state_machine = config_state_machine::from_snapshot(*snapshot);
    if (!state_machine) {
        ++counts_.malformed_records;
        return;
    }
    scan_->candidate = std::move(state_machine.value());
    for (const auto& it : scan_->buffered) {
        if (it.offset >= snapshot->next) {
            count(scan_->candidate->apply(it));
        }
    }
    scan_->buffered.clear();
}

void config_follower::count(const record_effect& effect)
{
    ++counts_.records_applied;
    counts_.malformed_records += effect.malformed ? 1 : 0;
    if (effect.snapshot_differs) {
        ++counts_.differing_snapshots;
        log_event("config_snapshot_differs", "count={}", counts_.differing_snapshots);
    }
    // The first verdict on an edit counts. A duplicate is reported only if the original is no
    // longer in the history.
    if (effect.edit && edits_.contains(effect.edit->edit_id) &&
        (effect.edit->verdict != edit_verdict::duplicate ||
         !state_machine_.outcome_of(effect.edit->edit_id))) {
        new_outcomes_.try_emplace(effect.edit->edit_id, *effect.edit);
    }
}

// Peers.

void config_follower::fetch_peer_states()
{
    if (peers_ == nullptr || peer_request_in_flight_) {
        return;
    }
    peer_request_in_flight_ = true;
    const auto number = ++peer_request_;
    const auto on_reply = [this, alive = alive_, number](const std::vector<std::string>& states) {
        if (*alive && peer_request_in_flight_ && number == peer_request_) {
            peer_request_in_flight_ = false;
            timers_.cancel(peer_timer_);
            on_peer_states(states);
        }
    };
    peer_timer_ = timers_.schedule(options_.peer_timeout, [on_reply] { on_reply({}); });
    peers_->fetch(state_machine_.next_offset(), on_reply);
}

void config_follower::on_peer_states(const std::vector<std::string>& states)
{
    std::optional<config_state_machine> newest;
    for (const auto& text : states) {
        if (text.empty()) {
            continue;
        }
        const auto decoded = decode_config_record(text);
        const auto* snapshot = decoded ? std::get_if<config_snapshot>(&decoded.value()) : nullptr;
        peer_state_seen_ = peer_state_seen_ || snapshot != nullptr;
        if (snapshot == nullptr || snapshot->next <= state_machine_.next_offset() ||
            (newest && snapshot->next <= newest->next_offset())) {
            continue;
        }
        if (auto state_machine = config_state_machine::from_snapshot(*snapshot)) {
            newest = std::move(state_machine.value());
        }
    }
    peers_answered_ = true;
    // After a regression no state is adopted until the last known record is back.
    if (newest && log_state_ != config_log_state::regressed && adopt(std::move(*newest), "peer")) {
        scan_.reset();
        unverified_page_.reset();
        verified_at_.reset();
    }
    put_in_force();
    finish_edits();
}

std::string config_follower::state_for_peer(log_offset newer_than) const
{
    if (!is_ready() || state_machine_.next_offset() <= newer_than) {
        return {};
    }
    return encode(state_machine_.snapshot());
}

bool config_follower::adopt(config_state_machine later, const char* source)
{
    // Before a configuration is in force nothing can regress, so the newer state is taken.
    const bool is_compatible = is_ready() ? state_machine_.can_be_followed_by(later)
                                          : later.next_offset() >= state_machine_.next_offset();
    if (!is_compatible) {
        ++counts_.refused_states;
        log_event("config_state_refused", "count={} source={}", counts_.refused_states, source);
        return false;
    }
    ++counts_.adopted_states;
    state_machine_ = std::move(later);
    return true;
}

void config_follower::put_in_force()
{
    const bool is_log_known = log_read_to_end_ || (log_failed_ && peer_state_seen_);
    if (!peers_answered_ || !is_log_known || !state_machine_.has_document()) {
        return;
    }
    const auto version = state_machine_.document_version();
    assert(version >= in_force_.version);
    if (in_force_.settings && version == in_force_.version) {
        return;
    }
    in_force_ = {state_machine_.current().settings(), version};
    log_event("config_in_force", "version={}", version);
    // By index, since a subscriber may add another one.
    for (std::size_t n = 0; n < subscribers_.size(); ++n) {
        subscribers_[n](in_force_);
    }
}

void config_follower::set_log_state(config_log_state state, std::string_view reason)
{
    if (state == log_state_) {
        return;
    }
    log_state_ = state;
    log_event("config_log", "state={} next={} reason=\"{}\"", to_string(state),
              state_machine_.next_offset(), reason);
}

// Edits.

void config_follower::submit_edit(const config_edit& edit, edit_callback done)
{
    const auto refuse = [&](errc code, const char* message) {
        timers_.schedule(duration::zero(), [done, code, message, alive = alive_] {
            if (*alive) {
                done(failure(code, message));
            }
        });
    };
    if (edit.id.empty()) {
        return refuse(errc::invalid_argument, "the edit has no id");
    }
    if (edit.content.size() > config_state_machine::max_content_bytes) {
        return refuse(errc::limit_exceeded, "the content is too long");
    }
    if (edits_.contains(edit.id)) {
        return refuse(errc::conflict, "an edit with this id is under way");
    }
    if (log_state_ == config_log_state::regressed) {
        return refuse(errc::unavailable, "the log lost records; nothing is written to it");
    }
    auto id = edit.id;
    pending_edit pending;
    pending.id = id;
    pending.record = encode(edit);
    pending.done = std::move(done);
    pending.deadline = timers_.monotonic_now() + options_.edit_timeout;
    edits_.emplace(id, std::move(pending));
    if (state_machine_.outcome_of(id)) {
        timers_.schedule(duration::zero(), [this, alive = alive_] {
            if (*alive) {
                finish_edits();
            }
        });
        return;
    }
    attempt_edit(id);
}

void config_follower::attempt_edit(const std::string& id)
{
    const auto it = edits_.find(id);
    if (it == edits_.end()) {
        return;
    }
    auto& edit = it->second;
    const auto attempt = ++edit.attempt;
    counts_.edits_repeated += attempt > 1 ? 1 : 0;
    const auto on_reply = [this, alive = alive_, id, attempt](const result<log_offset>& reply) {
        if (*alive) {
            on_append(id, attempt, reply);
        }
    };
    edit.timer = timers_.schedule(options_.append_timeout, [on_reply] {
        on_reply(failure(errc::reply_lost, "no reply to an append to the log"));
    });
    log_.append(options_.stream, edit.record, on_reply);
}

void config_follower::on_append(const std::string& id, std::uint64_t attempt,
                                const result<log_offset>& reply)
{
    const auto it = edits_.find(id);
    if (it == edits_.end() || it->second.attempt != attempt) {
        return;
    }
    auto& edit = it->second;
    timers_.cancel(edit.timer);
    if (!reply && reply.error().code == errc::unavailable) {
        retry_edit(edit);
        return;
    }
    edit.may_be_stored = true;
    poll_after(duration::zero());
    if (!reply) {
        retry_edit(edit);
        return;
    }
    // The edit is stored; a poll reads its verdict.
    edit.timer = timers_.schedule(edit.deadline - timers_.monotonic_now(), [this, id] {
        finish_edit(id, failure(errc::reply_lost, "stored, but the log cannot be read"));
    });
}

void config_follower::retry_edit(pending_edit& edit)
{
    constexpr std::uint64_t max_doublings = 3;
    const auto doublings = std::min(edit.attempt - 1, max_doublings);
    const auto delay =
        jittered(std::min<duration>(options_.max_backoff, backoff_base * (1U << doublings)));
    if (timers_.monotonic_now() + delay >= edit.deadline ||
        log_state_ == config_log_state::regressed) {
        finish_edit(edit.id, edit.may_be_stored
                                 ? failure(errc::reply_lost, "the log did not confirm the edit")
                                 : failure(errc::unavailable, "the log is down"));
        return;
    }
    edit.timer = timers_.schedule(delay, [this, id = edit.id] { attempt_edit(id); });
}

void config_follower::finish_edits()
{
    std::vector<std::string> done;
    for (const auto& [id, edit] : edits_) {
        if (new_outcomes_.contains(id) || state_machine_.outcome_of(id)) {
            done.push_back(id);
        }
    }
    for (const auto& id : done) {
        const auto found = new_outcomes_.find(id);
        finish_edit(id,
                    found != new_outcomes_.end() ? found->second : *state_machine_.outcome_of(id));
    }
    new_outcomes_.clear();
}

void config_follower::finish_edit(const std::string& id, result<edit_outcome> outcome)
{
    auto node = edits_.extract(id);
    if (node.empty()) {
        return;
    }
    timers_.cancel(node.mapped().timer);
    node.mapped().done(std::move(outcome));
}

// Snapshots.

bool config_follower::is_snapshot_due() const
{
    if (log_state_ != config_log_state::following || !state_machine_.has_document()) {
        return false;
    }
    const auto& newest = state_machine_.newest_snapshot();
    // A snapshot is of no use once a record that it does not cover has been dropped.
    if (!newest || newest->next < first_retained_) {
        return true;
    }
    // The age depends on wall clocks. A wrong clock makes snapshots too frequent or leaves them to
    // the other two conditions and the other instances; no verdict depends on it.
    return timers_.wall_now() - newest->time > options_.retention / 4 ||
           state_machine_.next_offset() - newest->offset > options_.records_between_snapshots;
}

void config_follower::schedule_snapshot()
{
    if (snapshot_timer_ != 0 || !is_snapshot_due() ||
        timers_.monotonic_now() < next_snapshot_allowed_) {
        return;
    }
    const auto delay =
        options_.snapshot_delay_per_rank * rank_ + jittered(options_.snapshot_delay_per_rank / 2);
    snapshot_timer_ = timers_.schedule(delay, [this] { write_snapshot(); });
}

void config_follower::write_snapshot()
{
    snapshot_timer_ = 0;
    if (!is_snapshot_due()) {
        return;
    }
    next_snapshot_allowed_ = timers_.monotonic_now() + min_snapshot_interval;
    ++counts_.snapshots_written;
    // The result is ignored: a poll reads the record, or a later attempt writes it.
    log_.append(options_.stream, encode(state_machine_.snapshot()),
                [](const result<log_offset>&) {});
}

duration config_follower::jittered(duration span)
{
    constexpr std::uint32_t steps = 1024;
    return span / 2 + span * draw_below(random_, steps) / (2 * steps);
}

} // namespace cactusloom
