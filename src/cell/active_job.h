#pragma once

#include "cell/cell_controller.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace cactusloom {

// Scheduling state of one task of an active job.
struct task_state {
    enum class phase { pending, placed, done };
    phase at = phase::pending;
    std::uint32_t failures = 0;
    std::uint32_t moves = 0;    // runs stopped because the worker was slow
    std::uint32_t losses = 0;   // workers lost while they ran it
    bool may_start = true;      // false: it may be what crashed them
    std::uint32_t last_run = 0; // number of the newest run
    std::string avoid_worker;   // worker on which it last failed, was refused or was too slow
};

// A job from its submission until its last run has ended.
struct active_job {
    job_request request;
    peer_link requester;
    cell_controller::answer answer; // empty once answered
    monotonic_time arrived;         // at the instance that the caller is connected to
    monotonic_time accepted_at;     // at this controller
    monotonic_time first_start_at;
    monotonic_time last_start_at;
    duration chain{};        // predicted run time at speed 1 of its longest chain of steps
    monotonic_time due;      // objective: an answer by then has its full value
    monotonic_time deadline; // the caller stops waiting
    std::vector<std::vector<task_state>> steps;
    std::vector<std::uint32_t> done_of_step;
    std::size_t pending_tasks = 0;
    std::size_t placed_tasks = 0;
    bool started = false;
    bool ended = false;           // answered or abandoned; no further task is started
    monotonic_time ended_renewal; // newest renewal of its lease when it ended

    // A new submission of the same id, accepted once the last run of this job has ended.
    struct successor {
        job_request request;
        peer_link requester;
        cell_controller::answer answer;
    };
    std::optional<successor> next;

    bool step_is_ready(std::size_t step) const
    {
        return std::ranges::all_of(request.steps[step].after, [this](std::uint32_t it) {
            return done_of_step[it] == request.steps[it].count;
        });
    }

    // Until when its requester is known to wait for it; an ended job is not renewed any more.
    monotonic_time renewed_at(monotonic_time now) const
    {
        if (ended) {
            return ended_renewal;
        }
        return requester.renewed_at ? std::min(*requester.renewed_at, now) : now;
    }

    // No run of the job may go on after this.
    monotonic_time lease_end(monotonic_time now) const { return renewed_at(now) + job_lease; }

    void end(monotonic_time now)
    {
        ended_renewal = renewed_at(now);
        ended = true;
    }

    bool all_done() const { return pending_tasks == 0 && placed_tasks == 0; }
};

} // namespace cactusloom
