#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

// Dense index that an instance assigns to a worker on first sight; never reused.
using worker_id = std::uint32_t;

// Load that a worker reports with a reply.
struct worker_load {
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    bool leaving = false;
};

// Outcome of a start. The first three values guarantee that the task did not run.
enum class start_status {
    refused_busy,
    refused_leaving,
    not_sent, // no connection: no byte of the request was sent
    completed,
    task_failed,  // the worker ran the task and reports that it failed
    lease_lapsed, // the task ran and was stopped when its lease expired
    stopped,      // stopped on request; the task may have run partially
    reply_lost,   // the request may have been received; the outcome is unknown
};

// True for the statuses that guarantee that the task did not run.
constexpr bool is_certainly_not_run(start_status status)
{
    return status == start_status::refused_busy || status == start_status::refused_leaving ||
           status == start_status::not_sent;
}

// Start request for one task. The views must stay valid until start() returns.
struct start_request {
    std::string_view task_id; // unique per start, so that a worker can drop duplicates
    std::string_view kind;
    std::string_view payload;
    duration lease;     // the worker stops the task when the lease expires
    duration time_left; // until the caller's deadline; the worker may reject a task it cannot
                        // finish in time
};

struct start_reply {
    start_status status = start_status::reply_lost;
    std::string payload; // the result, or the reason for a failure
    worker_load load;
    bool has_load = false; // false when no reply arrived
    duration run_time{};   // as reported by the worker; zero if unknown
};

// Sends tasks to workers. Implementations never resend a start on their own.
class worker_client {
public:
    using callback = std::function<void(start_reply)>;

    worker_client() = default;
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    virtual ~worker_client() = default;

    // Starts a task. `done` is called exactly once, never from inside start().
    virtual void start(worker_id worker, const start_request& request, callback done) = 0;

    // Extends the lease of a running task without waiting for a reply.
    virtual void renew(worker_id worker, std::string_view task_id, duration lease) = 0;

    // Asks a worker to stop a task and free its slot. The callback of start() still runs.
    virtual void stop(worker_id worker, std::string_view task_id) = 0;
};

} // namespace cactusloom
