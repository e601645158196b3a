#pragma once

#include "base/timer_service.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Loss of a worker's process while it ran a task: it restarted, or it fell silent until its leases
// had lapsed.
struct worker_loss {
    std::string task;          // name of the task
    std::uint64_t worker = 0;  // identifies the process of the worker
    bool sole_suspect = false; // ran alone, or was the only task there with an earlier loss
};

// Remembers under which tasks workers were lost, for longer than jobs, submissions and controllers
// last. A task may crash every worker that starts it, and each start costs a worker for seconds.
class crash_ledger {
public:
    explicit crash_ledger(timer_service& timers) : timers_(timers) {}

    // Adds a loss. Returns false if it is known.
    bool add(const worker_loss& loss);

    // True if a worker was lost under the task before.
    bool is_suspect(std::string_view task) const;

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
    monotonic_time forgotten_at_;
};

// True if a task is the likely cause of the losses under it and must not be started again. Tasks
// that ran beside it are lost with it, so two losses count only if no other task there may be the
// cause of the second.
bool is_given_up(std::size_t losses, bool sole_suspect);

} // namespace cactusloom
