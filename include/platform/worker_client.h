#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

// Dense number that an instance gives a worker when it first learns of it; never reused.
using worker_id = std::uint32_t;

// Load as a worker reports it in a reply.
struct worker_load {
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    bool leaving = false;
};

// How a start ended. The first three statuses are certain: the task did not run.
enum class start_status {
    refused_busy,
    refused_leaving,
    not_sent, // no connection, so no byte of the request left this process
    completed,
    task_failed,  // the worker ran the task and reports that it failed
    lease_lapsed, // the task ran and was stopped because its lease ended
    stopped,      // the task was stopped at our request; it may have run in part
    reply_lost,   // the request may have arrived; the outcome is unknown
};

// True for the statuses that prove that the task did not run.
constexpr bool is_certainly_not_run(start_status status)
{
    return status == start_status::refused_busy || status == start_status::refused_leaving ||
           status == start_status::not_sent;
}

// A task as sent to a worker. The views must stay valid until start() returns.
struct start_request {
    std::string_view task_id; // unique for each start, so a worker can drop a repeated message
    std::string_view kind;
    std::string_view payload;
    duration lease;     // the worker stops the task when the lease ends without renewal
    duration time_left; // until the caller's deadline; the worker may refuse what it cannot meet
};

struct start_reply {
    start_status status = start_status::reply_lost;
    std::string payload; // the answer, or the reason of a failure
    worker_load load;
    bool has_load = false; // false when no reply arrived
    duration run_time{};   // time the task ran, as reported by the worker; zero if unknown
};

// Sends tasks to workers. An implementation never sends a start twice by itself.
class worker_client {
public:
    using callback = std::function<void(start_reply)>;

    worker_client() = default;
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    virtual ~worker_client() = default;

    // Starts a task. `done` runs exactly once, never from inside start().
    virtual void start(worker_id worker, const start_request& request, callback done) = 0;

    // Extends the lease of a running task. No reply is awaited.
    virtual void renew(worker_id worker, std::string_view task_id, duration lease) = 0;

    // Asks a worker to stop a task and free its slot. The start's callback still runs.
    virtual void stop(worker_id worker, std::string_view task_id) = 0;
};

} // namespace cactusloom
