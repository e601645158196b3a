#pragma once

#include "base/random.h"
#include "base/timer_service.h"
#include "config/config_peer_source.h"
#include "config/config_state_machine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cactusloom {

struct config_follower_options {
    std::string stream = "config";
    std::uint64_t seed = 0; // of the jitter; instances should differ

    duration poll_interval = std::chrono::seconds{1};
    // Longest delay between polls while the log is down. Edits must be in force within 7 s of the
    // log's return, so the backoff stays well below that.
    duration max_backoff = std::chrono::seconds{4};
    duration read_timeout = std::chrono::seconds{3};
    duration append_timeout = std::chrono::seconds{5};
    // How often the last known record is re-read while nothing is appended, to detect a rewritten
    // log. It is also re-read before new records are applied. A record may have a few hundred KB,
    // too much to read with every poll.
    duration verify_interval = std::chrono::minutes{5};
    duration peer_timeout = std::chrono::seconds{1};
    // An edit without a verdict after this time ends with an error.
    duration edit_timeout = std::chrono::seconds{30};

    // Retention of the log. A snapshot is due when the newest is older than a quarter of it.
    duration retention = std::chrono::hours{24 * 7};
    // A snapshot is also due after this many records, which bounds the work of a cold start.
    std::size_t records_between_snapshots = 1000;
    // Delay before writing a snapshot per rank among the live members, so that usually only the
    // first one writes it.
    duration snapshot_delay_per_rank = std::chrono::seconds{2};

    // Applying one record takes up to a few ms, so an iteration of the event loop applies only few.
    std::size_t records_per_read = 32;
};

// State of the log as seen by an instance.
enum class config_log_state {
    unknown,   // not read yet
    following, // read to its end
    down,
    regressed, // rewound or rewritten; nothing is applied until the last known record is back
    gap,       // retention dropped needed records, and no snapshot covers them
};

const char* to_string(config_log_state state);

// The configuration in force, on which decisions are based.
struct config_in_force {
    std::shared_ptr<const deployment> settings;
    log_offset version = 0; // offset of the newest accepted edit
};

// Keeps an instance's configuration up to date from the log, and from peers while the log is down.
class config_follower {
public:
    using subscriber = std::function<void(const config_in_force&)>;
    // Outcome by the log, or an error: `unavailable` (not stored), `reply_lost` (may be stored and
    // accepted later), `conflict` (the same edit is in progress), `invalid_argument` (no id),
    // `limit_exceeded` (content too long).
    using edit_callback = std::function<void(result<edit_outcome>)>;

    // `peers` may be null. All three must outlive the follower.
    config_follower(log_service& log, timer_service& timers, config_peer_source* peers,
                    config_follower_options options);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    void start();

    // Calls `fn` with every configuration that comes into force, and at once if there is one
    // already.
    void subscribe(subscriber fn);

    // Appends an edit to the log, retries under the same id while its outcome is unknown, and
    // reports the verdict. `done` never runs inside the call.
    void submit_edit(const config_edit& edit, edit_callback done);

    // This instance's position among the live members, from 0. Until set, snapshots are delayed as
    // for rank 10.
    void set_rank(std::size_t rank) { rank_ = rank; }

    // True once a configuration is in force.
    bool is_ready() const { return in_force_.settings != nullptr; }
    const config_in_force& in_force() const { return in_force_; }
    const config_state_machine& state_machine() const { return state_machine_; }
    config_log_state log_state() const { return log_state_; }

    // State for another instance, empty if there is nothing newer than offset `newer_than`.
    std::string state_for_peer(log_offset newer_than) const;

    struct counters {
        std::uint64_t records_applied = 0;
        std::uint64_t malformed_records = 0;
        std::uint64_t differing_snapshots = 0; // alarm: instances disagree about the same log
        std::uint64_t refused_states = 0;      // alarm: state of a peer or snapshot contradicts
        std::uint64_t adopted_states = 0;
        std::uint64_t snapshots_written = 0;
        std::uint64_t edits_repeated = 0;
    };
    const counters& counts() const { return counts_; }

private:
    struct pending_edit {
        std::string id;
        std::string record;
        edit_callback done;
        monotonic_time deadline;
        bool may_be_stored = false;
        std::uint64_t attempt = 0;
        timer_id timer = 0;
    };

    // A search for a snapshot in the retained records, with the records that come after it.
    struct scan {
        log_offset start = 0;
        log_offset next = 0;
        std::vector<log_record> buffered;
        std::optional<config_state_machine> candidate;
    };

    void poll();
    void poll_after(duration delay);
    void on_read(std::uint64_t poll_number, const result<log_page>& reply);
    void on_read_failed(std::string_view reason);
    void handle_page(const log_page& page);
    void verify_known_record(const log_page& page);
    void handle_new_records(const log_page& page);
    void finish_page(log_offset reached, log_offset end);
    bool can_verify_known_record(const log_page& page) const;
    void report_regression(std::string_view reason);
    void apply_records(const log_page& page);
    bool start_tail_scan(const log_page& page);
    void scan_page(const log_page& page);
    void end_scan();
    void scan_record(const log_record& record);
    void count(const record_effect& effect);

    void fetch_peer_states();
    void on_peer_states(const std::vector<std::string>& states);
    bool adopt(config_state_machine later, const char* source);
    void put_in_force();
    void set_log_state(config_log_state state, std::string_view reason);

    void attempt_edit(const std::string& id);
    void on_append(const std::string& id, std::uint64_t attempt, const result<log_offset>& reply);
    void retry_edit(pending_edit& edit);
    void finish_edits();
    void finish_edit(const std::string& id, result<edit_outcome> outcome);

    bool is_snapshot_due() const;
    void schedule_snapshot();
    void write_snapshot();

    duration jittered(duration span);

    log_service& log_;
    timer_service& timers_;
    config_peer_source* peers_;
    config_follower_options options_;
    random_engine random_;

    config_state_machine state_machine_;
    std::optional<scan> scan_;
    log_offset first_retained_ = 0;
    config_in_force in_force_;
    std::vector<subscriber> subscribers_;
    config_log_state log_state_ = config_log_state::unknown;
    counters counts_;

    // Readiness waits for the peers, so that a rewound log cannot put an old document in force.
    bool peers_answered_ = false;
    bool peer_state_seen_ = false;
    bool log_read_to_end_ = false;
    bool log_failed_ = false;

    std::uint64_t poll_number_ = 0;
    bool poll_in_flight_ = false;
    bool poll_requested_ = false; // a poll was requested while one was in flight
    bool poll_verifies_ = false;  // the poll in flight re-reads the last known record
    log_offset poll_start_ = 0;   // next offset when the poll in flight was sent
    timer_id poll_timer_ = 0;
    timer_id read_timer_ = 0;
    // New records, kept until the last known one is verified.
    std::optional<log_page> unverified_page_;
    std::optional<monotonic_time> verified_at_;
    bool tail_scanned_ = false;
    std::uint32_t failed_polls_ = 0;
    std::uint64_t peer_request_ = 0;
    bool peer_request_in_flight_ = false;
    timer_id peer_timer_ = 0;

    std::map<std::string, pending_edit, std::less<>> edits_;
    std::map<std::string, edit_outcome, std::less<>> new_outcomes_;

    std::size_t rank_ = 10;
    timer_id snapshot_timer_ = 0;
    monotonic_time next_snapshot_allowed_{};

    // Replies may arrive after the follower is destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
