#include "controller_state.h"

#include "base/log.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace cactusloom {

namespace {

// A worker refuses a start that arrives later than this, so that a start command delayed by seconds
// has no effect.
constexpr duration start_lease = std::chrono::milliseconds{700};
// Number of jobs without a fitting worker after which a pass ends; the next pass tries the rest.
constexpr int max_unplaced_jobs_per_pass = 12;
// Bounds the processor time of a pass.
constexpr int max_unplaced_jobs_per_deep_pass = 60;
// Age up to which the expected ends of runs are reused.
constexpr duration fast_ends_lifetime = std::chrono::milliseconds{5};
// An overdue run is expected to take another tenth of the time that it has taken.
constexpr int overdue_divisor = 10;
// A worker whose speed is within this ratio of the fastest kind counts as fast.
constexpr double fast_ratio = 1.1;
// The pause before a pass equals the run time of the last one, up to this limit, so that passes
// over a long backlog leave processor time to other work.
constexpr duration max_start_pass_delay = std::chrono::milliseconds{20};
// Starts of a task that workers refuse as invalid before its job is given up.
constexpr std::uint32_t max_invalid_starts = 3;
constexpr duration idle_log_interval = std::chrono::milliseconds{250};
constexpr duration unknown_wait = std::chrono::seconds{3600};

} // namespace

void cell_controller::state::schedule_start_pass()
{
    if (start_pass_scheduled || token == 0) {
        return;
    }
    start_pass_scheduled = true;
    timers.schedule(std::min(start_pass_time, max_start_pass_delay), [this, alive = alive] {
        if (*alive) {
            start_pass_scheduled = false;
            const auto begin = timers.monotonic_now();
            start_pending_tasks();
            start_pass_time = timers.monotonic_now() - begin;
        }
    });
}

bool cell_controller::state::accepts_starts(const claimed_worker& worker, monotonic_time now) const
{
    return worker.token_accepted && worker.listed && !worker.report.draining &&
           worker.clock_ms >= 0 && worker.orphans.empty() && worker.unanswered_polls == 0 &&
           worker.suspended_until <= now && worker.job_leases.left(now) >= min_start_lease;
}

// Reports newly used workers to the requesters before anything is started on them.
void cell_controller::state::announce_used_workers(std::span<claimed_worker* const> available)
{
    if (std::ranges::all_of(available, &claimed_worker::announced)) {
        return;
    }
    for (auto& [id, worker] : workers) {
        worker->announced |= worker->token_accepted && worker->listed;
    }
    self.on_used_workers_changed();
}

// True if the requester leaves the job to this controller for long enough to start a task. Another
// controller may have had the workers before the token was raised, and the requester may have sent
// the job there, so it has to renew the lease once more.
bool cell_controller::state::is_leased(const active_job& job, monotonic_time now) const
{
    const bool had_all_workers = claimed_at == first_claimed_at;
    return job.lease(now).left(now) >= min_start_lease &&
           (had_all_workers || job.renewed_at(now) >= claimed_at);
}

// Returns the workers whose granted lease ends before that of the job. A lease is never shortened,
// so a task of the job could go on for too long on the others.
std::vector<claimed_worker*> cell_controller::state::leased_no_longer_than(
    const active_job& job, std::span<claimed_worker* const> available, monotonic_time now) const
{
    const auto left = job.lease(now).left(now).count() / 1000;
    std::vector<claimed_worker*> out;
    std::ranges::copy_if(available, std::back_inserter(out), [&](const claimed_worker* it) {
        return it->lease_end_ms - it->clock_estimate(now) <= left;
    });
    return out;
}

void cell_controller::state::start_pending_tasks()
{
    if (token == 0) {
        return;
    }
    const auto now = timers.monotonic_now();
    std::vector<active_job*> waiting;
    std::int64_t min_cpu = std::numeric_limits<std::int64_t>::max();
    for (const auto& [id, job] : jobs) {
        if (!job->ended && job->pending_tasks != 0) {
            waiting.push_back(job.get());
            for (const auto& step : job->request.steps) {
                min_cpu = std::min(min_cpu, step.demand.cpu_millis);
            }
        }
    }
    if (waiting.empty()) {
        return;
    }
    std::vector<claimed_worker*> available;
    for (const auto& [id, worker] : workers) {
        if (accepts_starts(*worker, now) &&
            worker->report.capacity.cpu_millis - worker->used.cpu_millis >= min_cpu) {
            available.push_back(worker.get());
        }
    }
    if (available.empty()) {
        return;
    }
    announce_used_workers(available);
    std::set<std::string> orphaned; // tasks that still run under an earlier controller
    for (const auto& [id, worker] : workers) {
        for (const auto& [name, orphan] : worker->orphans) {
            orphaned.insert(name);
        }
    }
    policy.sort(waiting, now, cores);
    int unplaced_jobs = 0;
    const bool overloaded = is_overloaded(now);
    std::size_t waiting_tasks = 0; // that found no worker in this pass
    const int max_unplaced = settings.policies.deep_passes ? max_unplaced_jobs_per_deep_pass
                                                           : max_unplaced_jobs_per_pass;
    for (auto* job : waiting) {
        if (!is_leased(*job, now) || (job->request.resumed && !may_start_resumed(*job))) {
            continue;
        }
        bool placed_all = true;
        if ((overloaded || waiting_tasks != 0) && !job->started && !job->request.resumed &&
            !may_begin(*job, available, waiting_tasks, overloaded, now)) {
            ++unplaced_jobs;
            continue; // leaves the workers to jobs that can be in time
        }
        for (std::size_t step = 0; step < job->steps.size(); ++step) {
            if (!job->step_is_ready(step)) {
                continue;
            }
            for (std::size_t i = 0; i < job->steps[step].size() && placed_all; ++i) {
                if (job->steps[step][i].at != task_state::phase::pending ||
                    !job->steps[step][i].may_start ||
                    (!orphaned.empty() && orphaned.contains(to_task_name(
                                              {job->request.id, static_cast<std::uint32_t>(step),
                                               static_cast<std::uint32_t>(i)})))) {
                    continue;
                }
                const auto choose = [&](std::span<claimed_worker* const> from) {
                    return policy.choose(*job, step, job->steps[step][i], from, now,
                                         fast_wait(waiting_tasks, now));
                };
                auto* worker = job->lease(now).left(now) >= settings.lease
                                   ? choose(available)
                                   : choose(leased_no_longer_than(*job, available, now));
                placed_all = worker != nullptr && place(*job, step, i, *worker, now);
                if (placed_all && !worker->has_capacity({min_cpu, 0, 0})) {
                    std::erase(available, worker);
                }
            }
        }
        if (!placed_all) {
            waiting_tasks += job->pending_tasks;
            if (++unplaced_jobs >= max_unplaced) {
                return;
            }
        }
        if (available.empty()) {
            return;
        }
    }
}

// True if more work arrives than the workers can do. Unknown until they have accepted the claim.
bool cell_controller::state::is_overloaded(monotonic_time now) const
{
    return now - claimed_at >= claim_settling_time && cores > 0 && demand.rate(now) > cores;
}

// True if a job of which nothing was started deserves workers that others could use: it can be in
// time, and so can its last tasks, although `tasks_ahead` tasks of other jobs wait for a worker. A
// late job is begun unless the cell is overloaded.
bool cell_controller::state::may_begin(const active_job& job,
                                       std::span<claimed_worker* const> available,
                                       std::size_t tasks_ahead, bool overloaded, monotonic_time now)
{
    if (!policy.is_in_time(job, now)) {
        return !settings.policies.late_wait || !overloaded;
    }
    const auto missing = policy.tasks_without_worker(job, available, now);
    return !settings.policies.whole_starts || missing == 0 ||
           policy.is_worth_starting(job, fast_wait(tasks_ahead + missing - 1, now), now);
}

// Logs why cores are idle while tasks wait.
void cell_controller::state::log_idle_capacity(monotonic_time now)
{
    if (now - idle_logged_at < idle_log_interval) {
        return;
    }
    std::size_t tasks = 0;
    std::int64_t min_cpu = std::numeric_limits<std::int64_t>::max();
    for (const auto& [id, job] : jobs) {
        if (!job->ended && job->pending_tasks != 0) {
            tasks += job->pending_tasks;
            for (const auto& step : job->request.steps) {
                min_cpu = std::min(min_cpu, step.demand.cpu_millis);
            }
        }
    }
    if (tasks == 0) {
        return;
    }
    idle_logged_at = now;
    std::int64_t total = 0;
    std::int64_t unreachable = 0;
    std::int64_t leaving = 0;
    std::int64_t suspended = 0;
    std::int64_t remainder = 0;
    std::int64_t kept = 0;
    for (const auto& [id, worker] : workers) {
        const auto capacity = worker->report.capacity.cpu_millis;
        const auto idle = capacity - worker->used.cpu_millis;
        total += capacity;
        if (!worker->listed || worker->report.draining) {
            leaving += idle;
        }
        else if (worker->suspended_until > now) {
            suspended += idle;
        }
        else if (!accepts_starts(*worker, now)) {
            unreachable += idle;
        }
        else if (idle < min_cpu) {
            remainder += idle;
        }
        else {
            kept += idle;
        }
    }
    log_event(
        "idle_cores",
        "waiting_tasks={} total={} unreachable={} leaving={} suspended={} remainder={} kept={}",
        tasks, total / 1000, unreachable / 1000, leaving / 1000, suspended / 1000, remainder / 1000,
        kept / 1000);
}

// Computes when the runs on workers of the fastest kind are expected to end.
void cell_controller::state::update_fast_ends(monotonic_time now)
{
    fast_ends_at = now;
    fast_ends.clear();
    const double limit = times.fastest_factor() * fast_ratio;
    for (const auto& [id, worker] : workers) {
        if (!accepts_starts(*worker, now) || policy.run_time_factor(*worker) > limit) {
            continue;
        }
        for (const auto& [name, run] : worker->runs) {
            const auto elapsed = now - run.sent_at;
            fast_ends.push_back(now + std::max(run.predicted - elapsed, elapsed / overdue_divisor));
        }
    }
    std::ranges::sort(fast_ends);
}

// Expected time until a worker of the fastest kind can take a task behind `tasks_ahead` others.
duration cell_controller::state::fast_wait(std::size_t tasks_ahead, monotonic_time now)
{
    if (!settings.policies.bounded_wait) {
        return {};
    }
    if (now - fast_ends_at > fast_ends_lifetime) {
        update_fast_ends(now);
    }
    return tasks_ahead < fast_ends.size() ? std::max(fast_ends[tasks_ahead] - now, duration::zero())
                                          : unknown_wait;
}

bool cell_controller::state::place(active_job& job, std::size_t step, std::size_t index,
                                   claimed_worker& worker, monotonic_time now)
{
    worker.job_leases = earlier(worker.job_leases, job.lease(now));
    const auto lease = std::min(start_lease, worker.job_leases.left(now));
    if (lease < min_start_lease) {
        return false; // a poll since the worker was chosen has found less
    }
    auto& task = job.steps[step][index];
    task_run run;
    run.job = &job;
    run.task = {job.request.id, static_cast<std::uint32_t>(step),
                static_cast<std::uint32_t>(index)};
    run.run = ++task.last_run;
    run.demand = job.request.steps[step].demand;
    run.sent_at = now;
    run.predicted = policy.predict(job, job.request.steps[step], worker);
    run.latest_start_ms = worker.clock_estimate(now) + lease.count() / 1000;
    worker.lease_end_ms = std::max(worker.lease_end_ms, run.latest_start_ms);
    worker.reserve_capacity(run.demand);
    run.isolated = task.losses != 0;
    worker.isolated_runs += run.isolated ? 1 : 0;
    task.at = task_state::phase::placed;
    --job.pending_tasks;
    ++job.placed_tasks;
    if (!std::exchange(job.started, true)) {
        job.first_start_at = now;
    }
    job.last_start_at = now;
    ++counts.starts;
    history->add(job_event::started, job.request.id, worker.report.id, run.run);
    const auto name = to_task_name(run.task);
    const start_command command{name, run.run, job.request.payload, run.latest_start_ms, token};
    worker.runs.insert_or_assign(name, std::move(run));
    commands.start(worker.report, command,
                   [this, alive = alive, id = worker.report.id, name, number = task.last_run,
                    sent = token](const command_reply& reply) {
                       if (*alive) {
                           on_start(id, name, number, sent, reply);
                       }
                   });
    return true;
}

void cell_controller::state::on_start(const std::string& worker_id, const std::string& name,
                                      std::uint32_t number, std::uint64_t sent_token,
                                      const command_reply& reply)
{
    const auto found = workers.find(worker_id);
    if (found == workers.end()) {
        return;
    }
    auto& worker = *found->second;
    update_clock(worker, reply.clock_ms);
    const auto it = worker.runs.find(name);
    if (it == worker.runs.end() || it->second.run != number) {
        return;
    }
    auto& run = it->second;
    const auto now = timers.monotonic_now();
    if (reply.status == command_status::accepted) {
        run.confirmed_at = now;
        if (run.at != task_run::phase::stopping) {
            run.at = task_run::phase::running;
        }
        return;
    }
    if (reply.status == command_status::reply_lost) {
        ++counts.starts_without_reply;
        log_request_event("start_unanswered", "task={} run={} worker={}", name, number, worker_id);
        if (run.at == task_run::phase::starting) {
            run.at = task_run::phase::unconfirmed;
        }
        poll(worker, true);
        return;
    }
    // With every other status the command had no effect, so the task can be placed again at once.
    auto& task = run.job->steps[run.task.step][run.task.index];
    switch (reply.status) {
    case command_status::fenced:
        if (sent_token == token) {
            worker.token_accepted = false;
            worker.next_poll = now;
            self.on_fenced();
        }
        break;
    case command_status::superseded:
        // An earlier controller used higher run numbers for this task on the worker.
        task.last_run += 8;
        break;
    case command_status::unhealthy:
    case command_status::not_sent:
        record_task_failure(worker, *run.job, task);
        task.avoid_worker = worker_id;
        if (reply.status == command_status::not_sent) {
            poll(worker, true);
        }
        break;
    case command_status::wrong_incarnation:
        poll(worker, true);
        task.avoid_worker = worker_id;
        break;
    case command_status::no_room:
        task.avoid_worker = worker_id;
        poll(worker, true);
        break;
    case command_status::invalid: {
        ++counts.starts_invalid;
        log_request_event("start_invalid", "task={} run={} worker={} deadline_ms={} clock_ms={}",
                          name, number, worker_id, run.latest_start_ms, reply.clock_ms);
        record_task_failure(worker, *run.job, task);
        task.avoid_worker = worker_id;
        auto& job = *run.job;
        const bool gives_up = ++task.invalid >= max_invalid_starts;
        end_run(worker, name, task_state::phase::pending);
        if (gives_up && !job.ended) {
            // Only runs that end as failed make a job failed, and the start may be at fault.
            finish(job, {job_end::unknown, {}, "workers refuse a task as invalid"});
        }
        return;
    }
    default:
        break;
    }
    end_run(worker, name, task_state::phase::pending);
}

void cell_controller::state::stop(claimed_worker& worker, const std::string& name, task_run& run)
{
    run.at = task_run::phase::stopping;
    run.stop_sent_at = timers.monotonic_now();
    ++counts.stops;
    history->add(job_event::stopped, run.task.job, worker.report.id, run.run);
    commands.stop(worker.report, name, run.run, token,
                  [this, alive = alive, id = worker.report.id, name,
                   number = run.run](const command_reply& reply) {
                      const auto found = *alive ? workers.find(id) : workers.end();
                      if (found == workers.end()) {
                          return;
                      }
                      auto& target = *found->second;
                      update_clock(target, reply.clock_ms);
                      const auto it = target.runs.find(name);
                      if (it == target.runs.end() || it->second.run != number ||
                          reply.status != command_status::accepted) {
                          return;
                      }
                      it->second.stop_confirmed = true;
                      it->second.stop_confirmed_at = timers.monotonic_now();
                      if (it->second.confirmed_at == monotonic_time{}) {
                          poll(target, true); // the start most likely never arrived
                      }
                  });
}

// Removes a run that is certainly over, releases its capacity and sets its task to `next`.
void cell_controller::state::end_run(claimed_worker& worker, const std::string& name,
                                     task_state::phase next)
{
    const auto it = worker.runs.find(name);
    if (it == worker.runs.end()) {
        return;
    }
    auto& job = *it->second.job;
    const auto step = it->second.task.step;
    auto& task = job.steps[step][it->second.task.index];
    worker.release_capacity(it->second.demand);
    worker.isolated_runs -= it->second.isolated ? 1 : 0;
    worker.runs.erase(it);
    --job.placed_tasks;
    task.at = next;
    if (next == task_state::phase::done) {
        ++job.done_of_step[step];
    }
    else if (!job.ended) {
        ++job.pending_tasks;
    }
    if (job.ended) {
        if (job.placed_tasks == 0) {
            schedule_job_removal(job.request.id);
        }
    }
    else if (job.all_done()) {
        finish(job, {job_end::completed, {}, ""});
    }
    schedule_start_pass();
}

} // namespace cactusloom
