#pragma once

#include "cell/job.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cactusloom {

// A worker as it reports itself.
struct worker_report {
    std::string id;
    std::string address;
    std::string service;
    std::string data_centre;
    std::string kind; // workers of one kind run at about one speed
    std::vector<std::string> labels;
    task_demand capacity;
    bool draining = false;
    std::int64_t started_at_ms = 0; // Unix time of its start; 0 if it does not say
};

// What a worker says of a run that is under way.
struct running_row {
    std::string task;
    std::uint32_t run = 0;
    int percent = 0;
};

enum class run_end { done, failed, stopped, lapsed, broken };

// What a worker says of a run that ended. Numbers rise within one life of the worker.
struct finished_row {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    run_end how = run_end::failed;
};

// Reply to an order.
enum class command_status {
    accepted,
    fenced,            // the worker has seen a higher token
    superseded,        // the run is not higher than one that was stopped or ended there
    too_late,          // the order's latest time has passed
    no_room,           //
    invalid,           // the worker does not understand the order
    unhealthy,         // the worker did nothing and says it is not well
    wrong_incarnation, // another life of the worker answers at the address
    not_sent,          // certainly had no effect
    reply_lost,        // may have been carried out, or may be later
};

struct command_reply {
    command_status status = command_status::reply_lost;
    std::int64_t clock_ms = -1; // the worker's clock; -1 if the reply has none
};

struct poll_reply {
    command_status status = command_status::reply_lost;
    std::int64_t clock_ms = -1;
    std::int64_t started_at_ms = 0;
    std::vector<running_row> running;
    std::vector<finished_row> finished;
    bool finished_complete = true; // false if the worker has more ends to list
};

struct start_command {
    std::string task;
    std::uint32_t run = 0;
    std::string_view payload;
    std::int64_t deadline_ms = 0; // on the worker's clock: end of the lease and latest start
    std::uint64_t token = 0;
};

struct poll_command {
    std::uint64_t token = 0;
    std::uint64_t last_seen_end = 0; // ends up to this number may be forgotten
    std::int64_t deadline_ms = -1;   // on the worker's clock; -1 leaves the lease as it is
    duration wait{};                 // the reply may wait this long for an end
};

// Orders to workers. Callbacks run later on the loop, exactly once.
class worker_commands {
public:
    worker_commands() = default;
    worker_commands(const worker_commands&) = delete;
    worker_commands& operator=(const worker_commands&) = delete;
    virtual ~worker_commands() = default;

    virtual void start(const worker_report& worker, const start_command& command,
                       std::function<void(command_reply)> fn) = 0;
    virtual void stop(const worker_report& worker, const std::string& task, std::uint32_t run,
                      std::uint64_t token, std::function<void(command_reply)> fn) = 0;

    // Renews the lease of everything that runs there and lists runs and ends.
    virtual void poll(const worker_report& worker, const poll_command& command,
                      std::function<void(poll_reply)> fn) = 0;
};

} // namespace cactusloom
