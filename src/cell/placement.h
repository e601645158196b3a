#pragma once

#include "active_job.h"
#include "cell/run_time_estimator.h"
#include "claimed_worker.h"
#include "demand_meter.h"

#include <span>

namespace cactusloom {

// Placement policy for mixed long and short tasks on workers of different speed: decides which job
// goes next and on which worker a task is started. It has no state of its own and no side effects.
class placement {
public:
    placement(const run_time_estimator& times, const demand_meter& demand, double remote_penalty,
              const scheduling_policies& policies = {})
        : times_(times), demand_(demand), remote_penalty_(remote_penalty), policies_(policies)
    {
    }

    // Sorts the jobs into the order in which their tasks are started. Jobs that can still meet
    // their objective come first, by priority of their queue and then earliest objective. Late jobs
    // rank with them if so little of their work is unstarted that their answer is worth more per
    // work than that of an unstarted job in time. The other late jobs follow, by priority and
    // unstarted share, and last those whose answer has no value any more, by priority and deadline.
    //
    // Within a priority, the jobs come first that lose most if they wait until the work that is
    // waiting has been done by `cores` of speed 1, for the share of work that they still need. A
    // job that is safe or beyond help loses little. Without a number of cores the earliest
    // objective comes first.
    void sort(std::vector<active_job*>& jobs, monotonic_time now, double cores = 0) const;

    // Time until `cores` of speed 1 have done `work` core-microseconds besides the work that keeps
    // arriving; at most ten seconds.
    duration predict_wait(double work, double cores, monotonic_time now) const;

    // Time up to which an answer has value for the caller.
    static monotonic_time useful_until(const active_job& job);

    // Predicted run time of a task of the step on the worker.
    duration predict(const active_job& job, const job_step& step,
                     const claimed_worker& worker) const;

    // Run time on the worker as a multiple of the run time at speed 1, near the task's data.
    double run_time_factor(const claimed_worker& worker) const
    {
        return worker.speed.factor(times_.kind_factor(worker.report.kind)) * worker.slowness;
    }

    // Predicted run time of a task of the step on a healthy worker of the fastest kind.
    duration min_run_time(const active_job& job, const job_step& step) const;

    // Largest of these run times over the steps that are not done.
    duration longest_remaining_run_time(const active_job& job) const;

    // Largest of these run times over all steps.
    duration longest_run_time(const active_job& job) const;

    // Lower estimate of an actual run time, as predictions err both ways.
    static duration optimistic_run_time(duration predicted);

    // Chooses one of the workers that accept starts: the slowest that safely meets the objective,
    // so that fast ones stay free for long tasks, or the fastest for a late task. Among workers of
    // equal speed it takes the tightest fit. Returns null if no worker fits, or if none meets the
    // objective and the task is more likely to meet it on a worker of the fastest kind, the next of
    // which becomes free after `fast_wait`.
    claimed_worker* choose(const active_job& job, std::size_t step, const task_state& task,
                           std::span<claimed_worker* const> available, monotonic_time now,
                           duration fast_wait = {}) const;

    // Number of waiting tasks of steps that are ready for which no worker is left that would
    // probably end them in time.
    std::size_t tasks_without_worker(const active_job& job,
                                     std::span<claimed_worker* const> available,
                                     monotonic_time now) const;

    // True if the job is probably in time if its last tasks start after `wait`.
    bool is_worth_starting(const active_job& job, duration wait, monotonic_time now) const
    {
        return expected_value(job, now + wait) >= min_value_to_start;
    }

    // Work of the tasks of a job that have not been started, in core-microseconds at speed 1.
    double pending_work(const active_job& job) const;

    // True if the job can still meet its objective, or is nearly done.
    bool is_in_time(const active_job& job, monotonic_time now) const
    {
        return urgency_of(job, now) == urgency::in_time;
    }

    // Work of the pending tasks of the jobs that come before `job`, in core-microseconds at
    // speed 1.
    double work_before(std::span<active_job* const> jobs, const active_job& job) const;

private:
    // Below this share of its value a job had better leave its workers to others.
    static constexpr double min_value_to_start = 0.5;

    enum class urgency { in_time, late, too_late };

    urgency urgency_of(const active_job& job, monotonic_time now) const;
    // Share of the job's work that has not been started, by the caller's estimates.
    static double unstarted_share(const active_job& job);
    bool can_meet_objective(const active_job& job, monotonic_time now) const;
    bool may_wait_for_faster(const active_job& job, duration slow, duration fast,
                             monotonic_time now, duration fast_wait) const;
    double chance(const active_job& job, duration run_time, monotonic_time start,
                  double ratio = 1) const;
    double expected_value(const active_job& job, monotonic_time start) const;
    double loss_by_waiting(const active_job& job, monotonic_time now, duration wait) const;

    const run_time_estimator& times_;
    const demand_meter& demand_;
    double remote_penalty_;
    scheduling_policies policies_;
};

} // namespace cactusloom
