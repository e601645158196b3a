#pragma once

#include "active_job.h"
#include "cell/run_time_estimator.h"
#include "claimed_worker.h"

#include <span>

namespace cactusloom {

// Placement policy for mixed long and short tasks on workers of different speed: decides which job
// goes next and on which worker a task is started. It has no state of its own and no side effects.
class placement {
public:
    placement(const run_time_estimator& times, double remote_penalty)
        : times_(times), remote_penalty_(remote_penalty)
    {
    }

    // Sorts the jobs into the order in which their tasks are started. Jobs that can still meet
    // their objective come first, by priority of their queue and then earliest objective. Late jobs
    // rank with them if so little of their work is unstarted that their answer is worth more per
    // work than that of an unstarted job in time. The other late jobs follow, by priority and
    // unstarted share, and last those whose answer has no value any more, by priority and deadline.
    void sort(std::vector<active_job*>& jobs, monotonic_time now) const;

    // Time up to which an answer has value for the caller.
    static monotonic_time useful_until(const active_job& job);

    // Predicted run time of a task of the step on the worker.
    duration predict(const active_job& job, const job_step& step,
                     const claimed_worker& worker) const;

    // Predicted run time of a task of the step on a healthy worker of the fastest kind.
    duration min_run_time(const active_job& job, const job_step& step) const;

    // Largest of these run times over the steps that are not done.
    duration longest_remaining_run_time(const active_job& job) const;

    // Lower estimate of an actual run time, as predictions err both ways.
    static duration optimistic_run_time(duration predicted);

    // Chooses one of the workers that accept starts: the slowest that safely meets the objective,
    // so that fast ones stay free for long tasks, or the fastest for a late task. Among workers of
    // equal speed it takes the tightest fit. Returns null if no worker fits, or if none meets the
    // objective but a faster one that becomes free still could.
    claimed_worker* choose(const active_job& job, std::size_t step, const task_state& task,
                           std::span<claimed_worker* const> available, monotonic_time now) const;

    // Work of the pending tasks of the jobs that come before `job`, in core-microseconds at
    // speed 1.
    double work_before(std::span<active_job* const> jobs, const active_job& job) const;

private:
    enum class urgency { in_time, late, too_late };

    urgency urgency_of(const active_job& job, monotonic_time now) const;
    // Share of the job's work that has not been started, by the caller's estimates.
    static double unstarted_share(const active_job& job);
    bool can_meet_objective(const active_job& job, monotonic_time now) const;

    const run_time_estimator& times_;
    double remote_penalty_;
};

} // namespace cactusloom
