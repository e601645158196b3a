#include "cell/crash_ledger.h"

#include "cell/job.h"

#include <algorithm>

namespace cactusloom {

namespace {

// Callers ask for the state of a job, or send it again, for up to two minutes.
constexpr duration lifetime = std::chrono::minutes{2};
constexpr duration forget_interval = std::chrono::seconds{5};
// A third loss is no coincidence, and fewer than three more starts are allowed after it.
constexpr std::uint32_t max_losses = 3;
// Tasks that ran beside the cause are lost with it, so two losses count only if no other task there
// may be the cause of the second.
constexpr std::uint32_t max_losses_of_sole_suspect = 2;

bool is_too_many(std::uint32_t losses, bool sole_suspect)
{
    return losses >= max_losses || (losses >= max_losses_of_sole_suspect && sole_suspect);
}

} // namespace

bool crash_ledger::add(const worker_loss& loss)
{
    task_ref ref;
    if (!parse_task_name(loss.task, ref)) {
        return false;
    }
    forget_old();
    auto& entry = jobs_[ref.job];
    const auto known = std::ranges::find_if(entry.losses, [&](const auto& it) {
        return it.task == loss.task && it.worker == loss.worker &&
               it.started_at_ms == loss.started_at_ms;
    });
    if (known != entry.losses.end()) {
        if (known->crashed || !loss.crashed) {
            return false;
        }
        known->crashed = true;
        return true;
    }
    entry.losses.push_back(loss);
    entry.last_at = timers_.monotonic_now();
    if (!loss.crashed) {
        silent_workers_.insert(loss.worker);
    }
    return true;
}

std::vector<worker_loss> crash_ledger::resolve(std::string_view worker, std::int64_t started_at_ms)
{
    std::vector<worker_loss> out;
    const auto silent = silent_workers_.find(worker);
    if (silent == silent_workers_.end() || started_at_ms == 0) {
        return out;
    }
    silent_workers_.erase(silent);
    for (auto& [job, entry] : jobs_) {
        std::erase_if(entry.losses, [&](auto& it) {
            if (it.worker != worker || it.crashed) {
                return false;
            }
            it.crashed = it.started_at_ms != started_at_ms;
            out.push_back(it);
            return !it.crashed;
        });
    }
    return out;
}

loss_verdict crash_ledger::verdict_on(std::string_view task) const
{
    loss_verdict out;
    task_ref ref;
    if (jobs_.empty() || !parse_task_name(task, ref)) {
        return out;
    }
    std::uint32_t crashes = 0;
    bool sole_suspect = false;
    for (const auto& it : losses_of(ref.job)) {
        if (it.task == task) {
            ++out.losses;
            crashes += it.crashed ? 1 : 0;
            sole_suspect = it.sole_suspect;
        }
    }
    out.may_start = !is_too_many(out.losses, sole_suspect);
    out.is_cause = is_too_many(crashes, sole_suspect);
    return out;
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

} // namespace cactusloom
