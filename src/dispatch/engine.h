#pragma once

#include "admission/team_quotas.h"
#include "dispatch/dispatcher.h"
#include "dispatch/hedge_policy.h"
#include "dispatch/retry_budget.h"
#include "dispatch_counts.h"
#include "job_record.h"
#include "metrics/latency_recorder.h"
#include "submission/submission_id.h"
#include "submission/submission_registry.h"

#include <deque>
#include <unordered_map>

namespace cactusloom {

// Implementation of the dispatcher. Jobs, tasks and open attempts have one record each, addressed
// by index.
class dispatcher::engine {
public:
    engine(const deployment& settings, dispatcher_options options, const dependencies& deps);
    ~engine();

    void apply(const deployment& settings);
    result<void> submit(submission_request request);
    void wait(std::string_view id, duration limit, answer_callback done);
    result<job_status> status(std::string_view id) const;
    result<void> cancel(std::string_view id);
    std::string issue_prefix() const;
    void shut_down(std::function<void()> drained);
    void set_share(double share);
    std::size_t open_jobs() const { return open_jobs_; }
    std::size_t queued_tasks() const;
    std::size_t bytes() const;
    const latency_recorder& latency() const { return latency_; }

private:
    // Purpose of a timer in the wheel.
    enum class timer_kind : std::uint8_t { job, attempt, retry, wait, dispatch_queued, retention };

    // Bound on the starts of a task, regardless of the retry budget.
    static constexpr unsigned max_starts_per_task = 5;

    static constexpr std::uint64_t timer_key(timer_kind purpose, std::uint32_t first,
                                             std::uint32_t second = 0)
    {
        return static_cast<std::uint64_t>(purpose) << 60U | std::uint64_t{second} << 32U | first;
    }

    // State of a request kind, with cached run-time quantiles of the router.
    struct kind_state {
        std::uint32_t queue = 0; // shared by the kinds that need the same features
        std::uint64_t samples = 0;
        monotonic_time refreshed;
        duration median{};
        duration p99{};
        duration hedge_after{};
    };

    struct delivery {
        answer_callback done;
        std::shared_ptr<const job_answer> answer;
    };

    // Submission.
    result<void> check(const submission_request& request) const;
    result<void> refuse(const submission_request& request, error reason);
    void accept(submission_request request, std::uint64_t id_hash, std::uint64_t digest);
    std::uint32_t find(std::string_view id) const;
    std::uint32_t add_job();

    // Starts of tasks.
    void dispatch_queued();
    bool dispatch_from(fair_queue& queue, int& starts_left);
    void start_next(std::uint32_t job_index, worker_id worker);
    void start_attempt(std::uint32_t job_index, std::uint32_t task, worker_id worker);
    bool would_miss_deadline(const job_record& job, monotonic_time now);
    const kind_state& refreshed_state(kind_index kind, monotonic_time now);

    // Ends of attempts.
    void on_reply(std::uint32_t attempt_index, std::uint32_t generation, start_reply reply);
    void complete_task(std::uint32_t job_index, std::uint32_t task, std::string answer);
    void attempt_failed(std::uint32_t job_index, std::uint32_t task, const start_reply& reply,
                        monotonic_time lease_end);
    void abandon_attempt(std::uint32_t attempt_index, start_status status);
    void send_stop(attempt_record& attempt);
    void release_slot(attempt_record& attempt, const start_reply& reply);
    void close_attempt(std::uint32_t attempt_index, start_status status);

    // Ends of jobs.
    void fail_job(std::uint32_t job_index, std::string_view reason);
    void finish_if_done(std::uint32_t job_index);
    void finish(std::uint32_t job_index);
    void drop_job(std::uint32_t job_index);
    void drop_old_answers(bool only_excess);

    // Timers.
    void on_due(std::uint64_t key);
    void on_job_due(std::uint32_t job_index);
    void on_attempt_due(std::uint32_t attempt_index);
    void on_retry_due(std::uint32_t job_index, std::uint32_t task);
    void on_wait_due(std::uint32_t job_index, std::uint32_t number);
    void try_hedge(std::uint32_t attempt_index);
    void arm_timer(attempt_record& attempt, std::uint32_t attempt_index);
    void retry_later(std::uint32_t job_index, std::uint32_t task);

    // Work deferred to a later iteration of the event loop.
    void schedule_deferred_work();
    void run_deferred_work();
    void deliver();

    std::string_view task_id(const job_record& job, const attempt_record& attempt);
    void update_quota(team_index team);
    monotonic_time now() const { return timers_.monotonic_now(); }

    std::shared_ptr<const deployment> settings_; // never modified in place
    const dispatcher_options options_;
    worker_client& workers_;
    router& router_;
    timer_service& timers_;
    job_observer* observer_;
    counters own_counters_; // used if the owner passes none
    latency_recorder latency_;
    dispatch_counts counts_;

    std::unordered_map<std::string_view, kind_index> kinds_by_name_;
    std::unordered_map<std::string_view, team_index> teams_by_customer_;
    std::vector<kind_state> kinds_;
    std::vector<team_quota> teams_; // by position; removed teams keep theirs
    std::vector<fair_queue> queues_;
    std::vector<std::vector<std::string>> queue_needs_; // worker features, by queue
    team_quotas quotas_;
    retry_budget retries_;
    hedge_policy hedges_;
    submission_registry registry_;

    std::deque<job_record> jobs_;
    std::vector<std::uint32_t> free_jobs_;
    std::unordered_map<std::uint64_t, std::uint32_t> jobs_by_id_;
    std::vector<attempt_record> attempts_;
    std::vector<std::uint32_t> free_attempts_;
    std::size_t open_jobs_ = 0;
    job_number last_job_ = 0;

    std::deque<std::uint32_t> retained_; // finished jobs, oldest first
    std::size_t retained_bytes_ = 0;
    timer_wheel::handle retention_timer_ = timer_wheel::none;

    std::deque<std::pair<std::uint32_t, std::uint32_t>> pending_stops_; // attempt and generation
    std::vector<delivery> deliveries_;
    std::function<void()> drained_;
    bool is_shutting_down_ = false;
    timer_id deferred_work_timer_ = 0;
    timer_wheel::handle dispatch_timer_ = timer_wheel::none;
    std::string task_id_; // reused buffer
    timer_wheel wheel_;
};

} // namespace cactusloom
