#pragma once

#include "base/timer_service.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Loss of a worker while it ran a task. A worker that restarts has crashed. One that was silent
// until its leases had lapsed may have crashed, or may be partitioned.
struct worker_loss {
    std::string task;
    std::string worker;
    std::int64_t started_at_ms = 0; // identifies the lost process of the worker
    bool sole_suspect = false;      // ran alone, or was the only task there with an earlier loss
    bool crashed = false;           // the worker is known to have restarted
};

// What the losses under a task mean for it.
struct loss_verdict {
    std::uint32_t losses = 0;
    bool may_start = true; // false: it is the likely cause, if all these workers have crashed
    bool is_cause = false; // it has crashed workers; its job is given up
};

// Remembers under which tasks workers were lost, for longer than jobs, submissions and controllers
// last. A task may crash every worker that starts it, and each start costs a worker for seconds.
class crash_ledger {
public:
    explicit crash_ledger(timer_service& timers) : timers_(timers) {}

    // Adds a loss, or that its worker has crashed. Returns false if nothing of it is new.
    bool add(const worker_loss& loss);

    // Records that a process of the worker answers. Its silence was no crash if it is the process
    // that was lost; an earlier process has crashed. Returns the losses that this decides.
    std::vector<worker_loss> resolve(std::string_view worker, std::int64_t started_at_ms);

    loss_verdict verdict_on(std::string_view task) const;

    // Losses under the tasks of a job.
    std::span<const worker_loss> losses_of(std::string_view job) const;

private:
    struct job_losses {
        std::vector<worker_loss> losses;
        monotonic_time last_at;
    };

    void forget_old();

    timer_service& timers_;
    std::map<std::string, job_losses, std::less<>> jobs_;
    std::set<std::string, std::less<>> silent_workers_; // of losses that may not be crashes
    monotonic_time forgotten_at_;
};

} // namespace cactusloom
