#include "controller_state.h"

#include "base/hash.h"
#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cactusloom {

namespace {

// A requester resubmits within a round trip of a takeover, so no job claims an older completion.
constexpr duration orphan_completion_lifetime = std::chrono::seconds{3};
// A requester resubmits within one or two heartbeats after its connection broke.
constexpr duration recent_outcome_lifetime = std::chrono::seconds{2};
// Share of the cores that tasks with different core counts can fill.
constexpr double packing_share = 0.85;
constexpr duration min_retry_after = std::chrono::seconds{1};
constexpr duration answer_margin = std::chrono::milliseconds{8};

// True for one of 64 jobs, whose completion is logged even if it is in time. Every instance picks
// the same ones.
bool is_sampled(std::string_view job_id)
{
    constexpr std::uint64_t sample = 64;
    return hash64(job_id) % sample == 0;
}

} // namespace

void cell_controller::state::submit(job_request request, const peer_link& requester, answer fn)
{
    if (token == 0) {
        fn({job_end::moved, {}, "not in control"});
        return;
    }
    if (const auto* defect = find_job_defect(request)) {
        fn({job_end::failed, {}, defect});
        return;
    }
    const auto it = jobs.find(request.id);
    if (const auto done = recent_outcomes.find(request.id); settings.policies.recent_outcomes &&
                                                            request.resumed && it == jobs.end() &&
                                                            done != recent_outcomes.end()) {
        fn(done->second.outcome);
        return;
    }
    if (it == jobs.end()) {
        accept(std::move(request), requester, std::move(fn));
        return;
    }
    auto& job = *it->second;
    if (!job.ended) {
        history->add(job_event::resumed, request.id, requester.process.name,
                     static_cast<std::uint32_t>(requester.number));
        job.answer = std::move(fn);
        job.set_requester(requester, timers.monotonic_now());
        job.deadline = std::max(job.deadline, timers.monotonic_now() + request.time_left);
        return;
    }
    if (job.next) {
        job.next->answer({job_end::unknown, {}, "submitted again"});
    }
    job.next = active_job::successor{std::move(request), requester, std::move(fn)};
}

void cell_controller::state::accept(job_request request, const peer_link& requester, answer fn)
{
    const auto now = timers.monotonic_now();
    auto owned = std::make_unique<active_job>();
    auto& job = *owned;
    job.request = std::move(request);
    job.requester = requester;
    job.answer = std::move(fn);
    job.arrived = now - job.request.age;
    job.accepted_at = now;
    job.deadline = now + job.request.time_left;
    // The objective is derived from the estimator's prediction, because the caller's estimate alone
    // is inaccurate.
    const auto chain = critical_path(job.request, [&](const job_step& step) {
        return times.work(job.request.terms.queue, step.estimate);
    });
    job.chain = chain;
    job.due = job.arrived + job.request.terms.target_latency +
              duration{static_cast<duration::rep>(static_cast<double>(chain.count()) *
                                                  job.request.terms.stretch)};
    for (const auto& step : job.request.steps) {
        auto& tasks = job.steps.emplace_back(step.count);
        for (auto& task : tasks) {
            task.last_run = job.request.run_base;
        }
        job.pending_tasks += step.count;
    }
    job.done_of_step.resize(job.request.steps.size());
    const std::string id = job.request.id;
    history->add(job.request.resumed ? job_event::resumed : job_event::accepted, id,
                 requester.process.name, static_cast<std::uint32_t>(requester.number));
    jobs[id] = std::move(owned);
    if (apply_known_losses(job)) {
        return;
    }
    if (!job.request.resumed) {
        demand.record(policy.pending_work(job), now);
    }
    const bool adopted = settings.policies.orphan_adoption && adopt_orphans(job);
    if (job.all_done()) {
        finish(job, {job_end::completed, {}, "done before"});
        return;
    }
    if (!adopted && !job.request.resumed && reject_if_too_late(job)) {
        return;
    }
    schedule_start_pass();
}

// Usable cores of the workers that accept starts, normalised to speed 1.
double cell_controller::state::usable_speed() const
{
    double sum = 0;
    const auto now = timers.monotonic_now();
    for (const auto& [id, worker] : workers) {
        if (worker->token_accepted && worker->listed && !worker->report.draining &&
            worker->suspended_until <= now) {
            sum += static_cast<double>(worker->report.capacity.cpu_millis) / 1000.0 /
                   policy.run_time_factor(*worker);
        }
    }
    return sum * packing_share;
}

// Rejects a new job if the wait for the work ahead of it is longer than its objective, if its
// longest task cannot end before its deadline, or if no worker is large enough for one of its
// tasks.
bool cell_controller::state::reject_if_too_late(active_job& job)
{
    const auto now = timers.monotonic_now();
    if (now - claimed_at < claim_settling_time) {
        return false; // some workers may not have accepted the claim yet
    }
    for (const auto& step : job.request.steps) {
        const bool fits = std::ranges::any_of(workers, [&](const auto& row) {
            const auto& it = *row.second;
            return it.listed && it.report.service == job.request.terms.service &&
                   step.demand.cpu_millis <= it.report.capacity.cpu_millis &&
                   step.demand.memory_mb <= it.report.capacity.memory_mb &&
                   step.demand.gpus <= it.report.capacity.gpus &&
                   (step.required_label.empty() || it.has_label(step.required_label));
        });
        if (!fits) {
            finish(job, {job_end::not_run, std::chrono::seconds{5}, "no worker is large enough"});
            return true;
        }
    }
    if (!settings.policies.refusal_on_arrival) {
        return false;
    }
    std::vector<active_job*> ahead;
    for (const auto& [id, it] : jobs) {
        if (it.get() != &job && it->pending_tasks != 0) {
            ahead.push_back(it.get());
        }
    }
    const double speed = usable_speed();
    const double work = ahead.empty() ? 0 : policy.work_before(ahead, job);
    const auto wait = duration{static_cast<duration::rep>(speed > 0 ? work / speed : 1e6)};
    // A job that misses its objective takes capacity from jobs that would meet theirs. If the wait
    // alone is as long as the objective, the job misses it even if the run time prediction is
    // wrong.
    const bool in_time = wait <= job.due - job.arrived;
    if (in_time &&
        now + policy.optimistic_run_time(policy.longest_remaining_run_time(job)) + answer_margin <=
            job.deadline) {
        return false;
    }
    log_request_event(
        "job_too_late", "id={} queue={} work_ahead_ms={} speed={:.1f} wait_ms={} due_ms={}",
        job.request.id, job.request.terms.queue, static_cast<std::int64_t>(work / 1000), speed,
        wait.count() / 1000, (job.due - now).count() / 1000);
    finish(job, {job_end::not_run, retry_after(job, now), "no room before its objective"});
    return true;
}

// Takes over tasks of this job that an earlier controller started or completed. Returns true if
// there were any.
bool cell_controller::state::adopt_orphans(active_job& job)
{
    bool any = false;
    const auto now = timers.monotonic_now();
    const auto task_of = [&](const task_ref& ref) -> task_state* {
        return ref.step < job.steps.size() && ref.index < job.steps[ref.step].size()
                   ? &job.steps[ref.step][ref.index]
                   : nullptr;
    };
    std::erase_if(orphan_completions, [&](const orphan_completion& it) {
        if (now - it.seen_at > orphan_completion_lifetime) {
            return true;
        }
        auto* task = it.task.job == job.request.id ? task_of(it.task) : nullptr;
        if (task == nullptr) {
            return false;
        }
        if (job.request.resumed && task->at == task_state::phase::pending) {
            task->at = task_state::phase::done;
            --job.pending_tasks;
            ++job.done_of_step[it.task.step];
            job.started = true;
            any = true;
        }
        return true;
    });
    for (auto& entry : workers) {
        auto& worker = *entry.second;
        std::erase_if(worker.orphans, [&](const auto& row) {
            task_ref ref;
            if (!parse_task_name(row.first, ref) || ref.job != job.request.id) {
                return false;
            }
            auto* task = task_of(ref);
            if (task == nullptr) {
                return false;
            }
            task->last_run = std::max(task->last_run, row.second.run);
            if (task->at != task_state::phase::pending ||
                row.second.stop_sent_at != monotonic_time{}) {
                return false;
            }
            task_run run;
            run.job = &job;
            run.task = ref;
            run.run = row.second.run;
            run.demand = job.request.steps[ref.step].demand;
            run.at = task_run::phase::running;
            run.adopted = true;
            run.sent_at = row.second.seen_at;
            run.confirmed_at = row.second.seen_at;
            run.predicted = policy.predict(job, job.request.steps[ref.step], worker);
            worker.reserve_capacity(run.demand);
            worker.runs.emplace(row.first, std::move(run));
            task->at = task_state::phase::placed;
            --job.pending_tasks;
            ++job.placed_tasks;
            job.started = true;
            any = true;
            ++counts.orphans_adopted;
            return true;
        });
    }
    return any;
}

// A task of a resumed job may still run on a worker that only the earlier controller reaches, or
// may have been started there since this controller's last poll. To prevent a concurrent second
// run, every worker has to accept a poll that is newer than the job.
bool cell_controller::state::may_start_resumed(const active_job& job)
{
    if (timers.monotonic_now() - job.accepted_at > lost_job_quarantine) {
        return true;
    }
    bool all_seen = worker_list_time > first_claimed_at;
    // After a network partition the platform lists the isolated workers again one by one, and
    // draining ones possibly never. Until then the list lacks workers that the earlier controller
    // used.
    auto missing = job.request.former_workers;
    for (auto& [id, worker] : workers) {
        if (worker->token_accepted && worker->accepted_poll_sent_at >= job.accepted_at) {
            missing.erase(worker_id_hash(id));
            continue;
        }
        if (!worker->listed && worker->report.draining) {
            continue;
        }
        all_seen = false;
        if (worker->token_accepted) {
            poll(*worker, true);
        }
    }
    return all_seen && missing.empty();
}

// Formats up to four runs of the job with worker, progress and age, for the log.
std::string cell_controller::state::describe_runs(const active_job& job) const
{
    constexpr int max_runs = 4;
    std::string out = "runs=";
    int n = 0;
    for (const auto& [id, worker] : workers) {
        for (const auto& [name, run] : worker->runs) {
            if (run.job == &job && ++n <= max_runs) {
                out += fmt::format("{}{}.{}@{}:{}%:{}ms", n == 1 ? "" : ",", run.task.step,
                                   run.task.index, id, run.percent,
                                   (timers.monotonic_now() - run.sent_at).count() / 1000);
            }
        }
    }
    return out;
}

void cell_controller::state::finish(active_job& job, const job_outcome& outcome)
{
    if (const auto fn = std::exchange(job.answer, nullptr)) {
        switch (outcome.end) {
        case job_end::completed:
            ++counts.jobs_completed;
            break;
        case job_end::failed:
            ++counts.jobs_failed;
            break;
        case job_end::not_run:
            ++counts.jobs_not_run;
            break;
        default:
            ++counts.jobs_unknown;
            break;
        }
        if (outcome.end != job_end::completed) {
            log_request_event("job_ended",
                              "id={} end={} reason=\"{}\" age_ms={} started={} pending={} {}",
                              job.request.id, to_string(outcome.end), outcome.reason,
                              (timers.monotonic_now() - job.arrived).count() / 1000, job.started,
                              job.pending_tasks, describe_runs(job));
        }
        if (outcome.end == job_end::completed || outcome.end == job_end::failed) {
            recent_outcomes[job.request.id] = {outcome, timers.monotonic_now()};
        }
        const auto now = timers.monotonic_now();
        if (outcome.end == job_end::completed && (now > job.due || is_sampled(job.request.id))) {
            log_request_event("job_completed",
                              "id={} queue={} late={} age_ms={} due_ms={} first_start_ms={} "
                              "last_start_ms={} run_ms={}",
                              job.request.id, job.request.terms.queue, now > job.due,
                              (now - job.arrived).count() / 1000,
                              (job.due - job.arrived).count() / 1000,
                              (job.first_start_at - job.arrived).count() / 1000,
                              (job.last_start_at - job.arrived).count() / 1000,
                              policy.longest_run_time(job).count() / 1000);
        }
        history->add(job_event::answered, job.request.id, to_string(outcome.end));
        fn(outcome);
    }
    abandon(job);
}

void cell_controller::state::abandon(active_job& job)
{
    job.answer = nullptr;
    if (!job.ended) {
        job.end(timers.monotonic_now());
    }
    job.pending_tasks = 0;
    if (job.placed_tasks != 0) {
        for (auto& [id, worker] : workers) {
            for (auto& [name, run] : worker->runs) {
                if (run.job == &job && run.at != task_run::phase::stopping) {
                    stop(*worker, name, run);
                }
            }
        }
    }
    else {
        schedule_job_removal(job.request.id);
    }
}

// Abandons a job, and the submission that waits for its end, if their requesters match. If
// `answers` is true, the requesters are told; one that waits after all submits the job again.
void cell_controller::state::abandon_if(active_job& job,
                                        const std::function<bool(const peer_link&)>& is_submitter,
                                        bool answers)
{
    const job_outcome moved{job_end::moved, {}, "abandoned"};
    if (job.next && is_submitter(job.next->requester)) {
        const auto next = std::move(*job.next);
        job.next.reset();
        if (answers) {
            next.answer(moved);
        }
    }
    if (!job.ended && is_submitter(job.requester)) {
        history->add(job_event::abandoned, job.request.id, job.requester.process.name);
        if (answers) {
            job.answer(moved);
        }
        abandon(job);
    }
}

void cell_controller::state::cancel(active_job& job)
{
    const job_outcome cancelled{job_end::failed, {}, "cancelled"};
    if (job.next) {
        const auto next = std::move(*job.next);
        job.next.reset();
        next.answer(cancelled);
    }
    if (!job.ended) {
        finish(job, cancelled);
    }
}

// The removal is deferred because callers hold references into `jobs`.
void cell_controller::state::schedule_job_removal(const std::string& id)
{
    timers.schedule(duration::zero(), [this, id, alive = alive] {
        if (*alive) {
            remove_ended_job(id);
        }
    });
}

// Removes a job whose last run has ended and submits its successor, if any.
void cell_controller::state::remove_ended_job(const std::string& id)
{
    const auto it = jobs.find(id);
    if (it == jobs.end() || !it->second->ended || it->second->placed_tasks != 0) {
        return;
    }
    auto next = std::move(it->second->next);
    std::uint32_t last_run = 0;
    for (const auto& step : it->second->steps) {
        for (const auto& task : step) {
            last_run = std::max(last_run, task.last_run);
        }
    }
    jobs.erase(it);
    if (next) {
        next->request.run_base = std::max(next->request.run_base, last_run);
        submit(std::move(next->request), next->requester, std::move(next->answer));
    }
}

void cell_controller::state::expire_jobs(monotonic_time now)
{
    std::erase_if(recent_outcomes, [now](const auto& it) {
        return now - it.second.ended_at > recent_outcome_lifetime;
    });
    std::vector<active_job*> open;
    for (const auto& [id, job] : jobs) {
        if (!job->ended) {
            open.push_back(job.get());
        }
    }
    for (auto* job : open) {
        if (job->ended) {
            continue;
        }
        if (now > job->deadline) {
            // A passed deadline is not a task failure, so the job is not answered `failed`.
            const bool may_have_run = job->started || job->request.resumed;
            finish(*job, may_have_run
                             ? job_outcome{job_end::unknown, {}, "deadline passed"}
                             : job_outcome{job_end::not_run, min_retry_after, "deadline passed"});
            continue;
        }
        if (job->started || job->request.resumed) {
            continue;
        }
        const auto limit = std::min(job->deadline, policy.useful_until(*job));
        if (now + policy.optimistic_run_time(policy.longest_remaining_run_time(*job)) > limit) {
            finish(*job, {job_end::not_run, retry_after(*job, now), "no time left for a task"});
        }
    }
    if (settings.policies.refusal_by_forecast) {
        refuse_hopeless_jobs(now);
    }
}

// Time after which the caller of a refused job may find room: when the waiting work of its priority
// and more urgent ones is done. It is spread, so that callers do not return all at once.
duration cell_controller::state::retry_after(const active_job& job, monotonic_time now) const
{
    constexpr double spread_range = 0.5; // of the wait
    constexpr std::uint64_t spread_steps = 1024;
    double work = 0;
    for (const auto& [id, it] : jobs) {
        if (!it->ended && it->request.terms.priority <= job.request.terms.priority) {
            work += policy.pending_work(*it);
        }
    }
    const auto wait = std::max(policy.predict_wait(work, cores, now), min_retry_after);
    const double step = static_cast<double>(hash64(job.request.id) % spread_steps) /
                        static_cast<double>(spread_steps);
    return duration{
        static_cast<duration::rep>(static_cast<double>(wait.count()) * (1 + spread_range * step))};
}

// Refuses jobs of which nothing was started, which will probably miss their objective, and which
// will not be started while an answer is still of use: the workers first serve the waiting jobs
// that can be in time, and those that keep arriving.
void cell_controller::state::refuse_hopeless_jobs(monotonic_time now)
{
    if (now - claimed_at < claim_settling_time || cores <= 0) {
        return; // some workers may not have accepted the claim yet
    }
    std::vector<active_job*> late;
    double work = 0; // ahead of the late jobs
    for (const auto& [id, job] : jobs) {
        if (job->ended || job->pending_tasks == 0) {
            continue;
        }
        if (!job->started && !job->request.resumed && !policy.is_in_time(*job, now)) {
            late.push_back(job.get());
        }
        else {
            work += policy.pending_work(*job);
        }
    }
    if (late.empty()) {
        return;
    }
    policy.sort(late, now);
    for (auto* job : late) {
        work += policy.pending_work(*job);
        const auto wait = policy.predict_wait(work, cores, now);
        const auto limit = std::min(job->deadline, policy.useful_until(*job));
        if (now + wait + policy.optimistic_run_time(policy.longest_remaining_run_time(*job)) >
            limit) {
            log_request_event("job_hopeless",
                              "id={} queue={} wait_ms={} arriving_cores={:.1f} cores={:.1f}",
                              job->request.id, job->request.terms.queue, wait.count() / 1000,
                              demand.rate(now), cores);
            finish(*job,
                   {job_end::not_run, retry_after(*job, now), "no room while an answer is of use"});
        }
    }
}

} // namespace cactusloom
