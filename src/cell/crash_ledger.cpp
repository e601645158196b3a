#include "cell/crash_ledger.h"

#include "cell/job.h"

#include <algorithm>

namespace cactusloom {

namespace {

// Callers ask for the state of a job, or send it again, for up to two minutes.
constexpr duration lifetime = std::chrono::minutes{2};
constexpr duration forget_interval = std::chrono::seconds{5};
// A third loss is no coincidence, and more starts than three after it are not allowed.
constexpr std::size_t max_losses = 3;
constexpr std::size_t max_losses_of_sole_suspect = 2;

} // namespace

bool crash_ledger::add(const worker_loss& loss)
{
    task_ref task;
    if (!parse_task_name(loss.task, task)) {
        return false;
    }
    forget_old();
    auto& entry = jobs_[task.job];
    const bool known = std::ranges::any_of(entry.losses, [&](const auto& it) {
        return it.task == loss.task && it.worker == loss.worker;
    });
    if (known) {
        return false;
    }
    entry.losses.push_back(loss);
    entry.last_at = timers_.monotonic_now();
    return true;
}

bool crash_ledger::is_suspect(std::string_view task) const
{
    task_ref ref;
    return !jobs_.empty() && parse_task_name(task, ref) &&
           std::ranges::any_of(losses_of(ref.job),
                               [task](const auto& it) { return it.task == task; });
}

std::span<const worker_loss> crash_ledger::losses_of(std::string_view job) const
{
    const auto it = jobs_.find(job);
    return it == jobs_.end() ? std::span<const worker_loss>{} : it->second.losses;
}

void crash_ledger::forget_old()
{
    const auto now = timers_.monotonic_now();
    if (now - forgotten_at_ < forget_interval) {
        return;
    }
    forgotten_at_ = now;
    std::erase_if(jobs_, [now](const auto& it) { return now - it.second.last_at > lifetime; });
}

bool is_given_up(std::size_t losses, bool sole_suspect)
{
    return losses >= max_losses || (losses >= max_losses_of_sole_suspect && sole_suspect);
}

} // namespace cactusloom
