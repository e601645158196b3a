#pragma once

#include "active_job.h"
#include "cell/cell_controller.h"
#include "cell/run_time_estimator.h"
#include "claimed_worker.h"
#include "demand_meter.h"
#include "placement.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cactusloom {

// Time after a claim until the workers that answer have accepted it.
inline constexpr duration claim_settling_time = std::chrono::seconds{1};

// A task that was completed under an earlier controller; a resumed job may count it as done.
struct orphan_completion {
    task_ref task;
    monotonic_time seen_at;
};

// Outcome of a job that has ended, kept for a requester that submits it again after its connection
// broke.
struct recent_outcome {
    job_outcome outcome;
    monotonic_time ended_at;
};

// Implementation of cell_controller. The functions are in controller_jobs.cpp,
// controller_workers.cpp, controller_losses.cpp and controller_starts.cpp.
struct cell_controller::state {
    state(timer_service& timer_source, worker_commands& command_sink, const cell_settings& limits,
          cell_controller& owner)
        : timers(timer_source), commands(command_sink), settings(limits), self(owner),
          times(limits.policies), policy(times, demand, limits.remote_penalty, limits.policies)
    {
    }

    timer_service& timers;
    worker_commands& commands;
    cell_settings settings;
    cell_controller& self;
    cell_counts counts;
    run_time_estimator times;
    demand_meter demand;
    placement policy;

    std::uint64_t token = 0;         // 0 without a claim
    monotonic_time first_claimed_at; // start of the current period of control
    monotonic_time claimed_at;       // last time that the token was raised
    monotonic_time worker_list_time;
    std::map<std::string, std::unique_ptr<claimed_worker>, std::less<>> workers;
    std::map<std::string, std::unique_ptr<active_job>, std::less<>> jobs;
    std::vector<orphan_completion> orphan_completions;
    std::vector<monotonic_time> fast_ends; // expected ends on workers of the fastest kind, sorted
    monotonic_time fast_ends_at;           // time at which they were computed
    double cores = 0;                      // usable_speed() at the last tick
    monotonic_time idle_logged_at;
    std::map<std::string, recent_outcome, std::less<>> recent_outcomes;
    std::shared_ptr<crash_ledger> losses;
    std::shared_ptr<job_history> history;
    bool start_pass_scheduled = false;
    duration start_pass_time{}; // of the last pass
    timer_id tick_timer = 0;
    // Callbacks of commands and timers may run after the controller has been destroyed.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    // Jobs.
    void submit(job_request request, const peer_link& requester, answer fn);
    void accept(job_request request, const peer_link& requester, answer fn);
    bool reject_if_too_late(active_job& job);
    bool adopt_orphans(active_job& job);
    bool may_start_resumed(const active_job& job);
    void finish(active_job& job, const job_outcome& outcome);
    std::string describe_runs(const active_job& job) const;
    void abandon(active_job& job);
    void abandon_if(active_job& job, const std::function<bool(const peer_link&)>& is_submitter,
                    bool answers);
    void cancel(active_job& job);
    void schedule_job_removal(const std::string& id);
    void remove_ended_job(const std::string& id);
    void expire_jobs(monotonic_time now);
    void refuse_hopeless_jobs(monotonic_time now);
    duration retry_after(const active_job& job, monotonic_time now) const;
    double usable_speed() const;
    void update_fast_ends(monotonic_time now);
    duration fast_wait(std::size_t tasks_ahead, monotonic_time now);

    // Workers.
    std::size_t run_count() const;
    // Now, if no task runs.
    monotonic_time latest_lease_end() const;
    void set_workers(std::span<const worker_report> reports);
    void poll(claimed_worker& worker, bool quick);
    void on_poll_reply(const std::string& id, std::uint64_t sent_token, monotonic_time sent_at,
                       bool quick, const poll_reply& reply);
    void apply_poll_reply(claimed_worker& worker, monotonic_time sent_at, const poll_reply& reply);
    void apply_running(claimed_worker& worker, const running_row& row, monotonic_time now);
    void apply_finished(claimed_worker& worker, const finished_row& row, monotonic_time now);
    void log_history(const claimed_worker& worker, const finished_row& row);
    void end_missing_runs(claimed_worker& worker, monotonic_time sent_at, const poll_reply& reply);
    void check_progress(claimed_worker& worker, task_run& run, int percent, monotonic_time now);
    void poll_if_start_unconfirmed(claimed_worker& worker, monotonic_time now);
    void poll_if_lease_is_short(claimed_worker& worker, monotonic_time now);
    void poll_if_end_overdue(claimed_worker& worker, monotonic_time now);
    void check_worker(claimed_worker& worker, monotonic_time now);
    void update_clock(claimed_worker& worker, std::int64_t clock_ms);
    void reset_restarted_worker(claimed_worker& worker, std::int64_t started_at_ms);
    void record_task_failure(claimed_worker& worker, const active_job& job, const task_state& task);
    void update_job_leases(claimed_worker& worker, monotonic_time now);
    bool accepts_starts(const claimed_worker& worker, monotonic_time now) const;

    // Lost workers.
    void end_lost_runs(claimed_worker& worker, bool crashed);
    std::vector<worker_loss> record_losses(const claimed_worker& worker, bool crashed);
    void resolve_losses(const claimed_worker& worker, std::int64_t started_at_ms);
    void apply_loss(const worker_loss& loss);
    bool apply_known_losses(active_job& job);

    // Starts and stops.
    void schedule_start_pass();
    void announce_used_workers(std::span<claimed_worker* const> available);
    bool is_leased(const active_job& job, monotonic_time now) const;
    std::vector<claimed_worker*> leased_no_longer_than(const active_job& job,
                                                       std::span<claimed_worker* const> available,
                                                       monotonic_time now) const;
    void start_pending_tasks();
    bool is_overloaded(monotonic_time now) const;
    bool may_begin(const active_job& job, std::span<claimed_worker* const> available,
                   std::size_t tasks_ahead, bool overloaded, monotonic_time now);
    bool place(active_job& job, std::size_t step, std::size_t index, claimed_worker& worker,
               monotonic_time now);
    void on_start(const std::string& worker_id, const std::string& task, std::uint32_t run,
                  std::uint64_t sent_token, const command_reply& reply);
    void stop(claimed_worker& worker, const std::string& task, task_run& run);
    void end_run(claimed_worker& worker, const std::string& task, task_state::phase next);

    void learn_run_time(claimed_worker& worker, std::string_view queue, duration estimate,
                        duration actual);
    void update_kind_factors();
    void log_idle_capacity(monotonic_time now);

    void tick();
};

} // namespace cactusloom
