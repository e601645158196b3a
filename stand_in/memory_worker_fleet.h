#pragma once

#include "base/timer_service.h"
#include "cell/worker_commands.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cactusloom {

// Workers in memory that follow the platform's contract for leased runs: fencing tokens, leases on
// their own clock, ends kept until they are taken note of, no check of their room. It records what
// a dispatcher must never do: start beyond a worker's room, or run a task twice at the same time.
class memory_worker_fleet final : public worker_commands {
public:
    // What goes wrong at one worker.
    struct faults {
        bool silent = false;       // neither takes orders nor answers; runs go on
        double lost_replies = 0;   // share of orders that are carried out without a reply
        double delayed_starts = 0; // share of starts without a reply that run seconds later
        bool fails_all = false;
        bool hangs = false;         // runs make no progress
        bool ignores_stops = false; // stops are lost on their way
        double slowness = 1;        // run times are multiplied
    };

    explicit memory_worker_fleet(timer_service& timers) : timers_(timers) {}

    // Adds a worker and returns its report.
    worker_report add(const std::string& id, task_demand capacity, const std::string& kind = "a",
                      double speed = 1.0);

    // Reports of all workers, as the platform lists them.
    std::vector<worker_report> reports() const;
    faults& fault(const std::string& id) { return workers_.at(id).fault; }

    // Loses everything that runs there; the worker comes back empty under the same id.
    void restart(const std::string& id);

    // Work of a task at speed 1; the default is 100 ms for every task.
    std::function<duration(const std::string& task)> work;
    // Needs of a task, for the check of the room.
    std::function<task_demand(const std::string& task)> demand;

    std::size_t starts_of(const std::string& task) const;
    std::size_t running(const std::string& id) const { return workers_.at(id).runs.size(); }
    std::size_t total_starts() const { return total_starts_; }
    const std::vector<std::string>& violations() const { return violations_; }

    void start(const worker_report& worker, const start_command& command,
               std::function<void(command_reply)> fn) override;
    void stop(const worker_report& worker, const std::string& task, std::uint32_t run,
              std::uint64_t token, std::function<void(command_reply)> fn) override;
    void poll(const worker_report& worker, const poll_command& command,
              std::function<void(poll_reply)> fn) override;

private:
    struct run_entry {
        std::uint32_t run = 0;
        monotonic_time began;
        duration length{};
        task_demand demand;
        timer_id end_timer = 0;
    };
    struct pending_poll {
        std::uint64_t id = 0;
        std::function<void(poll_reply)> fn;
    };
    struct worker {
        worker_report report;
        faults fault;
        double speed = 1;
        monotonic_time born;
        std::uint64_t token = 0;
        std::int64_t lease_end_ms = 0;
        std::map<std::string, run_entry> runs;
        std::map<std::string, std::uint32_t> highest_ended;
        std::vector<finished_row> finished;
        std::uint64_t last_number = 0;
        std::vector<pending_poll> waiting;
    };

    std::int64_t clock_of(const worker& it) const;
    command_status carry_out(worker& it, const std::string& task, std::uint32_t run,
                             std::int64_t deadline_ms, std::uint64_t token);
    void end(worker& it, const std::string& task, run_end how);
    void extend_lease(worker& it, std::int64_t deadline_ms);
    void check_lease(const std::string& id);
    poll_reply list(const worker& it) const;
    void complete_pending_polls(worker& it);
    bool draw(double share);

    timer_service& timers_;
    std::map<std::string, worker> workers_;
    std::map<std::string, std::size_t> starts_;
    std::map<std::string, std::set<std::string>> places_; // task -> workers that run it
    std::vector<std::string> violations_;
    std::size_t total_starts_ = 0;
    std::uint64_t last_poll_ = 0;
    std::uint32_t draws_ = 0;
};

} // namespace cactusloom
