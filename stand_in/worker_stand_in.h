#pragma once

#include "base/timer_service.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace cactusloom {

// Fault of a worker stand-in, applied to the tasks that it accepts.
enum class worker_fault {
    none,
    fails_tasks,      // runs each task and reports a failure
    never_replies,    // accepts and never replies
    closes,           // closes the connection after the request (HTTP) or drops the reply
    replies_garbage,  // replies with data that violates the protocol
    replies_for_other // replies with the id of another task
};

const char* to_string(worker_fault fault);

struct worker_behaviour {
    std::uint32_t slots = 8;
    std::uint32_t max_queue = 16;
    double speed = 1.0; // run times are divided by it
    duration default_run_time = std::chrono::milliseconds{1};
    std::map<std::string, duration, std::less<>> run_times{}; // by kind
    worker_fault fault = worker_fault::none;
    bool leaving = false;
};

// In-memory worker with slots, a bounded FIFO queue, run times by kind, leases and faults. The
// result of a task is "<kind>:<payload>". A duplicate start runs again, so that tests detect it.
class worker_stand_in {
public:
    using callback = worker_client::callback;

    worker_stand_in(timer_service& timers, worker_behaviour behaviour);

    // `done` is called once, never from inside start(); not at all with `never_replies`.
    void start(const start_request& request, callback done);
    void renew(std::string_view task_id, duration lease);
    void stop(std::string_view task_id);

    worker_load load() const;
    void set_behaviour(worker_behaviour behaviour) { behaviour_ = std::move(behaviour); }
    const worker_behaviour& behaviour() const { return behaviour_; }

    // Number of accepted starts per task id. More than one violates at-most-once execution.
    const std::map<std::string, int, std::less<>>& starts() const { return starts_; }
    int most_starts_of_a_task() const;

private:
    struct task {
        std::string id;
        std::string kind;
        std::string payload;
        duration lease{};
        callback done;
        monotonic_time started{};
        timer_id end_timer = 0;
        timer_id lease_timer = 0;
    };
    using task_ptr = std::shared_ptr<task>;

    void reply_later(start_status status, std::string payload, callback done);
    void run_next();
    void end(const task_ptr& it, start_status status);
    duration run_time_of(std::string_view kind) const;

    timer_service& timers_;
    worker_behaviour behaviour_;
    std::deque<task_ptr> queue_;
    std::unordered_map<std::string, task_ptr> running_;
    std::map<std::string, int, std::less<>> starts_;
};

} // namespace cactusloom
