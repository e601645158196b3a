#pragma once

#include "cell/job.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cactusloom {

// A worker as listed by the platform.
struct worker_report {
    std::string id;
    std::string address;
    std::string service;
    std::string data_centre;
    std::string kind; // workers of one kind run at about one speed
    std::vector<std::string> labels;
    task_demand capacity;
    bool draining = false;
    std::int64_t started_at_ms = 0; // Unix time at which its process started; 0 if not reported
};

// A running task in a worker's reply to a poll.
struct running_row {
    std::string task;
    std::uint32_t run = 0;
    int percent = 0;
};

enum class run_end { done, failed, stopped, lapsed, broken };

// A run that has ended, in a worker's reply to a poll. Numbers rise until the worker restarts.
struct finished_row {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    run_end how = run_end::failed;
};

// Result of a command.
enum class command_status {
    accepted,
    fenced,            // the worker has seen a higher token
    superseded,        // a run with this or a higher number was stopped or has ended there
    too_late,          // the deadline of the command has passed
    no_room,           // the worker has no free capacity
    invalid,           // the worker does not understand the command
    unhealthy,         // the worker did nothing and reports itself unhealthy
    wrong_incarnation, // the worker at the address has restarted
    not_sent,          // certainly had no effect
    reply_lost,        // may have been executed, or may still be
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
    bool finished_complete = true; // false if the worker has more finished runs to list
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
    std::uint64_t last_seen_end = 0; // the worker may discard finished runs up to this number
    std::int64_t deadline_ms = -1; // end of the lease on the worker's clock; -1 does not extend it
    duration wait{};               // the worker may delay its reply this long until a run ends
};

// Sends commands to workers. Callbacks run later on the event loop, exactly once.
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

    // Renews the lease of all runs on the worker and lists running and finished runs.
    virtual void poll(const worker_report& worker, const poll_command& command,
                      std::function<void(poll_reply)> fn) = 0;
};

} // namespace cactusloom
