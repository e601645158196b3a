#pragma once

#include "base/time.h"
#include "dispatch/job_service.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <string_view>

namespace cactusloom {

// Number of a job within one incarnation; never reused.
using job_number = std::uint64_t;

// A job that was accepted or refused. The views are valid during the call only.
struct received_job {
    std::string_view id;
    std::string_view customer;
    std::string_view kind;
    std::size_t tasks = 0;
    wall_time received;
};

// How a job ended. Times are zero if the step never happened.
struct finished_job {
    std::string_view id;
    job_state state = job_state::unknown;
    std::string_view reason;
    wall_time received;
    wall_time first_start;
    wall_time finished;
};

// Learns what happens to each job, for records. The calls must return quickly and must not call
// back into the dispatcher.
class job_observer {
public:
    job_observer() = default;
    job_observer(const job_observer&) = delete;
    job_observer& operator=(const job_observer&) = delete;
    virtual ~job_observer() = default;

    virtual void job_received(job_number job, const received_job& details) = 0;

    // Called for every start message, so a retried task is reported more than once.
    virtual void task_started(job_number job, std::uint32_t task, worker_id worker) = 0;

    // Called once for each task_started, with how that start ended. Certainly-not-run statuses tell
    // that the start does not count against the limit of one.
    virtual void task_ended(job_number job, std::uint32_t task, worker_id worker,
                            start_status status) = 0;

    // Called once for each job that was reported as received. Starts may still end later.
    virtual void job_finished(job_number job, const finished_job& details) = 0;

    // A submission that was refused; nothing of it ran under this submission.
    virtual void job_refused(const received_job& details, const error& reason) = 0;
};

} // namespace cactusloom
