#pragma once

#include "active_job.h"
#include "cell/run_time_estimator.h"
#include "claimed_worker.h"

#include <span>

namespace cactusloom {

// Answers the load of mixed long and short tasks on workers of different speed: which task goes
// next, and where. Pure decisions on the given state.
class placement {
public:
    placement(const run_time_estimator& times, double remote_penalty)
        : times_(times), remote_penalty_(remote_penalty)
    {
    }

    // Jobs that can still meet their objective come first, by the priority of their queue, then
    // earliest objective first. With them come late jobs of which so little is left to start that
    // their answer is worth more for the work than that of an untouched job in time. Other late
    // ones follow, by priority and what is left to start, and then those whose answer is of no
    // more use, by priority and deadline.
    void sort(std::vector<active_job*>& jobs, monotonic_time now) const;

    // Up to then an answer is of use to the caller.
    static monotonic_time useful_until(const active_job& job);

    // Predicted run time of a task of the step on the worker.
    duration predict(const active_job& job, const job_step& step,
                     const claimed_worker& worker) const;

    // Shortest run time that the step can have on a sound worker of the fastest kind.
    duration min_run_time(const active_job& job, const job_step& step) const;

    // Longest of the shortest run times of the steps that are not done.
    duration longest_remaining_run_time(const active_job& job) const;

    // Least run time to reckon with, as predictions are off either way.
    static duration optimistic_run_time(duration predicted);

    // Chooses among workers that are open to starts: the slowest that safely meets the objective,
    // so that fast ones stay free for long tasks; a late task takes the fastest that is left. Among
    // equals the tightest fit. Returns null if there is no room, or if waiting for a faster worker
    // still allows the objective.
    claimed_worker* choose(const active_job& job, std::size_t step, const task_state& task,
                           std::span<claimed_worker* const> open, monotonic_time now) const;

    // Work of the jobs' pending tasks that come before those of `job`, in core-microseconds at
    // speed 1.
    double work_before(std::span<active_job* const> jobs, const active_job& job) const;

private:
    enum class urgency { in_time, late, too_late };

    urgency urgency_of(const active_job& job, monotonic_time now) const;
    // Share of the job's work that has not been started.
    static double unstarted_share(const active_job& job);
    bool can_meet_objective(const active_job& job, monotonic_time now) const;

    const run_time_estimator& times_;
    double remote_penalty_;
};

} // namespace cactusloom
