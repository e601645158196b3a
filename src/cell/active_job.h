#pragma once

#include "cell/cell_controller.h"
#include "lease_limit.h"

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
    std::uint32_t invalid = 0;  // starts that a worker refused as invalid
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
    bool ended = false; // answered or abandoned; no further task is started
    // Newest renewal when the job ended, or when its requester submitted it again on a newer link.
    std::optional<monotonic_time> former_renewal;

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

    // Until when its requester is known to wait for it; null if nothing has been heard about that.
    // An ended job is not renewed any more.
    std::optional<monotonic_time> renewed_at(monotonic_time now) const
    {
        if (ended) {
            return former_renewal;
        }
        if (!requester.renewed_at) {
            return now;
        }
        if (*requester.renewed_at == monotonic_time{}) {
            return former_renewal;
        }
        return std::max(former_renewal, std::optional(std::min(*requester.renewed_at, now)));
    }

    // No run of the job may go on after its end.
    lease_limit lease(monotonic_time now) const
    {
        const auto renewal = renewed_at(now);
        return renewal ? lease_limit::at(*renewal + job_lease) : lease_limit::unknown();
    }

    // Its requester has submitted it again. What the same process said on its former link holds.
    void set_requester(const peer_link& link, monotonic_time now)
    {
        former_renewal = requester.is_of(link.process) ? renewed_at(now) : std::nullopt;
        requester = link;
    }

    void end(monotonic_time now)
    {
        former_renewal = renewed_at(now);
        ended = true;
    }

    bool all_done() const { return pending_tasks == 0 && placed_tasks == 0; }
};

} // namespace cactusloom
