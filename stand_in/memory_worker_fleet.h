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

// In-memory workers that implement the platform's contract for leased runs: fencing tokens, leases
// on the worker's own clock, ends kept until acknowledged, no check of their capacity. It records
// violations by the dispatcher: exceeding a worker's capacity, or running a task twice at once.
class memory_worker_fleet final : public worker_commands {
public:
    // Injected faults of one worker.
    struct faults {
        bool silent = false;       // ignores requests; runs continue
        double lost_replies = 0;   // share of requests that are executed without a reply
        double delayed_starts = 0; // share of starts that get no reply and run seconds later
        bool fails_all = false;
        bool finds_starts_invalid = false;
        bool hangs = false;         // runs make no progress
        bool ignores_stops = false; // stop requests are lost
        double slowness = 1;        // factor of run times
    };

    explicit memory_worker_fleet(timer_service& timers) : timers_(timers) {}

    // Adds a worker and returns its report.
    worker_report add(const std::string& id, task_demand capacity, const std::string& kind = "a",
                      double speed = 1.0);

    // Reports of all workers, as the platform lists them.
    std::vector<worker_report> reports() const;
    faults& fault(const std::string& id) { return workers_.at(id).fault; }

    // Restarts a worker under the same id; all its runs are lost.
    void restart(const std::string& id);

    // Changes the capacity of a worker while it runs.
    void resize(const std::string& id, task_demand capacity)
    {
        workers_.at(id).report.capacity = capacity;
    }

    // True for a task that crashes its worker 20 ms after its start. The worker is silent for
    // `crash_downtime` and then restarts. No task crashes its worker if unset.
    std::function<bool(const std::string& task)> crashes_worker;
    duration crash_downtime = std::chrono::seconds{3};
    std::size_t crashes() const { return crashes_; }

    // Run time of a task at speed 1; 100 ms if unset.
    std::function<duration(const std::string& task)> work;
    // Resource demand of a task, for the capacity check; one CPU if unset.
    std::function<task_demand(const std::string& task)> demand;

    std::size_t starts_of(const std::string& task) const;
    std::size_t failures_of(const std::string& task) const;
    std::size_t running(const std::string& id) const { return workers_.at(id).runs.size(); }
    std::size_t total_starts() const { return total_starts_; }

    // Starts that were sent with a deadline in the past.
    std::size_t expired_starts() const { return expired_starts_; }
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
    command_status execute_start(worker& it, const std::string& task, std::uint32_t run,
                                 std::int64_t deadline_ms, std::uint64_t token);
    void end(worker& it, const std::string& task, run_end how);
    void crash(const std::string& id);
    void extend_lease(worker& it, std::int64_t deadline_ms);
    void check_lease(const std::string& id);
    poll_reply list(const worker& it) const;
    void complete_pending_polls(worker& it);
    bool sample(double share);

    timer_service& timers_;
    std::map<std::string, worker> workers_;
    std::map<std::string, std::size_t> starts_;
    std::map<std::string, std::size_t> failures_;             // runs that have ended as failed
    std::map<std::string, std::set<std::string>> running_on_; // task -> workers that run it
    std::vector<std::string> violations_;
    std::size_t total_starts_ = 0;
    std::size_t expired_starts_ = 0;
    std::size_t crashes_ = 0;
    std::uint64_t last_poll_ = 0;
    std::uint32_t sample_state_ = 0;
};

} // namespace cactusloom
