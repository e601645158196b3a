#pragma once

#include "base/time.h"
#include "dispatch/job_service.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <string_view>

namespace cactusloom {

// Number of a job, unique within one incarnation of the process.
using job_number = std::uint64_t;

// An accepted or refused submission. The views are only valid during the call.
struct received_job {
    std::string_view id;
    std::string_view customer;
    std::string_view kind;
    std::size_t tasks = 0;
    wall_time received;
};

// How a job ended. The time of a step that never happened is zero.
struct finished_job {
    std::string_view id;
    job_state state = job_state::unknown;
    std::string_view reason;
    wall_time received;
    wall_time first_start;
    wall_time finished;
};

// Receives the events of all jobs, for record keeping. Implementations must return quickly and
// must not call back into the dispatcher.
class job_observer {
public:
    job_observer() = default;
    job_observer(const job_observer&) = delete;
    job_observer& operator=(const job_observer&) = delete;
    virtual ~job_observer() = default;

    virtual void job_received(job_number job, const received_job& details) = 0;

    // Called for every start request, so a retried task is reported more than once.
    virtual void task_started(job_number job, std::uint32_t task, worker_id worker) = 0;

    // Called once for each task_started(), with the result of that start. A start for which
    // is_certainly_not_run() holds does not count as a run of the task.
    virtual void task_ended(job_number job, std::uint32_t task, worker_id worker,
                            start_status status) = 0;

    // Called once for each job passed to job_received(). task_ended() may still follow.
    virtual void job_finished(job_number job, const finished_job& details) = 0;

    // Called for a refused submission. No task was started for it.
    virtual void job_refused(const received_job& details, const error& reason) = 0;
};

} // namespace cactusloom
