// Workers that are lost while they run tasks, and the tasks that are the likely cause.
#include "base/log.h"
#include "controller_state.h"

#include <algorithm>

namespace cactusloom {

// Ends all runs of a worker whose leases have expired or whose process has restarted.
void cell_controller::state::end_lost_runs(claimed_worker& worker, bool crashed)
{
    const auto new_losses = record_losses(worker, crashed);
    if (!worker.runs.empty()) {
        ++counts.workers_lost;
        log_event("runs_lost", "worker={} runs={} reason=\"{}\"", worker.report.id,
                  worker.runs.size(), crashed ? "worker restarted" : "leases lapsed");
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

// Adds the loss of a worker under each of its tasks to the ledger. Returns those that are new. A
// start without a confirmation may have been sent to a worker that was dead already, so it does not
// count, but it may be what crashed the worker.
std::vector<worker_loss> cell_controller::state::record_losses(const claimed_worker& worker,
                                                               bool crashed)
{
    std::vector<worker_loss> out;
    if (worker.report.draining) {
        return out; // its process ends as planned
    }
    std::vector<std::pair<std::string_view, std::uint32_t>> tasks;
    std::size_t unconfirmed = 0;
    for (const auto& [name, run] : worker.runs) {
        if (run.confirmed_at == monotonic_time{}) {
            ++unconfirmed;
            continue;
        }
        tasks.emplace_back(name, run.run);
    }
    for (const auto& [name, orphan] : worker.orphans) {
        tasks.emplace_back(name, orphan.run);
    }
    const auto is_suspect = [this](const auto& it) {
        return losses->verdict_on(it.first).losses != 0;
    };
    const auto suspects = std::ranges::count_if(tasks, is_suspect);
    for (const auto& it : tasks) {
        const bool sole =
            unconfirmed == 0 && (tasks.size() == 1 || (suspects == 1 && is_suspect(it)));
        const worker_loss loss{std::string(it.first), worker.report.id, worker.started_at_ms, sole,
                               crashed};
        if (losses->add(loss)) {
            log_request_event("task_lost",
                              "task={} run={} worker={} beside={} sole_suspect={} crashed={}",
                              loss.task, it.second, loss.worker, tasks.size() - 1, sole, crashed);
            self.on_worker_loss(loss);
            out.push_back(loss);
        }
    }
    return out;
}

// Learns from a reply of the process at a lost worker's address whether the worker had crashed.
void cell_controller::state::resolve_losses(const claimed_worker& worker,
                                            std::int64_t started_at_ms)
{
    for (const auto& loss : losses->resolve(worker.report.id, started_at_ms)) {
        log_request_event("loss_resolved", "task={} worker={} crashed={}", loss.task, loss.worker,
                          loss.crashed);
        if (loss.crashed) {
            self.on_worker_loss(loss);
        }
        apply_loss(loss);
    }
}

// Applies what the ledger says of a task, and gives the job up if the task has crashed workers.
// Only runs that end as failed count as attempts, so it is not answered `failed`.
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
    auto& task = job.steps[ref.step][ref.index];
    const auto verdict = losses->verdict_on(loss.task);
    task.losses = verdict.losses;
    task.may_start = verdict.may_start;
    if (!job.ended && verdict.is_cause) {
        finish(job, {job_end::unknown, {}, "workers crash under a task"});
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
