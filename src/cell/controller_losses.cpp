// Workers that are lost while they run tasks, and the tasks that are the likely cause.
#include "base/hash.h"
#include "base/log.h"
#include "controller_state.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {

namespace {

constexpr const char* given_up_reason = "workers were lost under a task";

std::uint64_t process_of(const claimed_worker& worker)
{
    return hash64(fmt::format("{}", worker.started_at_ms), hash64(worker.report.id));
}

} // namespace

// Ends all runs of a worker whose leases have expired or whose process has restarted.
void cell_controller::state::end_lost_runs(claimed_worker& worker, const char* reason)
{
    const auto new_losses = record_losses(worker);
    if (!worker.runs.empty()) {
        ++counts.workers_lost;
        log_event("runs_lost", "worker={} runs={} reason=\"{}\"", worker.report.id,
                  worker.runs.size(), reason);
        std::vector<std::string> names;
        for (const auto& [name, run] : worker.runs) {
            names.push_back(name);
        }
        for (const auto& name : names) {
            end_run(worker, name, task_state::phase::pending);
        }
    }
    for (const auto& loss : new_losses) {
        apply_loss(loss);
    }
}

// Adds the loss of a worker under each of its tasks to the ledger. Returns those that are new.
std::vector<worker_loss> cell_controller::state::record_losses(const claimed_worker& worker)
{
    std::vector<worker_loss> out;
    if (worker.report.draining) {
        return out; // its process ends as planned
    }
    const auto tasks = worker.runs.size() + worker.orphans.size();
    const auto is_suspect = [this](const auto& it) { return losses->is_suspect(it.first); };
    const auto suspects = std::ranges::count_if(worker.runs, is_suspect) +
                          std::ranges::count_if(worker.orphans, is_suspect);
    const auto add = [&](const std::string& name, std::uint32_t run) {
        const bool sole = tasks == 1 || (suspects == 1 && losses->is_suspect(name));
        const worker_loss loss{name, process_of(worker), sole};
        if (losses->add(loss)) {
            log_request_event("task_lost", "task={} run={} worker={} beside={} sole_suspect={}",
                              name, run, worker.report.id, tasks - 1, sole);
            self.on_worker_loss(loss);
            out.push_back(loss);
        }
    };
    for (const auto& [name, run] : worker.runs) {
        add(name, run.run);
    }
    for (const auto& [name, orphan] : worker.orphans) {
        add(name, orphan.run);
    }
    return out;
}

// Counts a loss that is in the ledger, and fails the job if that makes the task its likely cause.
void cell_controller::state::apply_loss(const worker_loss& loss)
{
    task_ref ref;
    if (!parse_task_name(loss.task, ref)) {
        return;
    }
    const auto it = jobs.find(ref.job);
    if (it == jobs.end() || ref.step >= it->second->steps.size() ||
        ref.index >= it->second->steps[ref.step].size()) {
        return;
    }
    auto& job = *it->second;
    const auto count = ++job.steps[ref.step][ref.index].losses;
    if (!job.ended && is_given_up(count, loss.sole_suspect)) {
        finish(job, {job_end::failed, {}, given_up_reason});
    }
}

// Applies the losses under the tasks of a job that was submitted before or came from another
// controller. Returns true if that ends the job.
bool cell_controller::state::apply_known_losses(active_job& job)
{
    for (const auto& loss : losses->losses_of(job.request.id)) {
        apply_loss(loss);
    }
    return job.ended;
}

} // namespace cactusloom
