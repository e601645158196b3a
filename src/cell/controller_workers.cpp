#include "controller_state.h"

#include "base/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactusloom {

namespace {

// A worker replies to a long poll when a run ends or after this time. The rest of the lease must be
// long enough for a lost reply and a second poll.
constexpr duration long_poll_wait = std::chrono::milliseconds{250};
// Less than the rest of a lease that each long poll renews in full.
constexpr duration short_lease = 2 * long_poll_wait;
// A healthy worker replies to a start within a round trip of a few ms.
constexpr duration start_reply_limit = std::chrono::milliseconds{20};
// The end of a run that is this late may have been reported on a connection that no longer delivers
// data.
constexpr duration overdue_slack = std::chrono::milliseconds{20};
constexpr duration overdue_poll_interval = std::chrono::milliseconds{60};
constexpr duration poll_retry_interval = std::chrono::milliseconds{300};
constexpr duration stop_retry_interval = std::chrono::milliseconds{120};
// A requester resubmits its jobs within a round trip of a takeover; orphans that are still without
// a job after this time are stopped.
constexpr duration orphan_grace = std::chrono::milliseconds{150};
// Start time of a process that runs at a worker's address under another id.
constexpr std::int64_t unknown_start_time = -1;
constexpr duration min_suspension = std::chrono::milliseconds{800};
constexpr duration max_suspension = std::chrono::seconds{4};
// A run that takes more than this multiple of its predicted time is checked as a straggler.
constexpr double straggler_ratio = 2.5;
constexpr duration min_straggler_time = std::chrono::milliseconds{60};
constexpr std::uint32_t max_moves = 2;
// One percent of the longest tasks (3.6 s at 1.7 times) takes 60 ms, and progress is polled every
// 250 ms.
constexpr duration no_progress_limit = std::chrono::milliseconds{300};

const char* to_string(run_end how)
{
    switch (how) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    }
    return "";
}

} // namespace

void cell_controller::state::set_workers(std::span<const worker_report> reports)
{
    std::set<std::string_view> listed;
    for (const auto& report : reports) {
        listed.insert(report.id);
        auto& entry = workers[report.id];
        if (!entry) {
            entry = std::make_unique<claimed_worker>();
            entry->report = report;
            entry->started_at_ms = report.started_at_ms;
            if (token != 0) {
                poll(*entry, true);
            }
            continue;
        }
        const bool drained = report.draining && !entry->report.draining;
        entry->listed = true;
        entry->report = report;
        if (drained) {
            log_event("worker_draining", "worker={} runs={}", report.id, entry->runs.size());
        }
    }
    for (auto it = workers.begin(); it != workers.end();) {
        auto& worker = *it->second;
        if (listed.contains(it->first)) {
            ++it;
            continue;
        }
        if (std::exchange(worker.listed, false)) {
            worker.unlisted_at = timers.monotonic_now();
            log_event("worker_unlisted", "worker={} runs={}", it->first, worker.runs.size());
        }
        it = worker.is_removable(timers.monotonic_now()) ? workers.erase(it) : std::next(it);
    }
    schedule_start_pass();
}

void cell_controller::state::update_clock(claimed_worker& worker, std::int64_t clock_ms)
{
    if (clock_ms >= 0) {
        worker.clock_ms = clock_ms;
        worker.clock_at = timers.monotonic_now();
    }
}

// Resets the state of a worker whose process has restarted; none of its earlier runs goes on.
void cell_controller::state::reset_restarted_worker(claimed_worker& worker,
                                                    std::int64_t started_at_ms)
{
    log_event("worker_restarted", "worker={} runs={}", worker.report.id, worker.runs.size());
    end_lost_runs(worker, true);
    worker.orphans.clear();
    worker.last_seen_end = 0;
    worker.clock_ms = -1;
    worker.lease_end_ms = -1;
    worker.started_at_ms = started_at_ms;
    worker.slowness = 1.0;
    worker.speed = {};
    resolve_losses(worker, started_at_ms == 0 ? unknown_start_time : started_at_ms);
}

// A lease at a worker holds for all its runs, so the first job's lease to end limits it.
void cell_controller::state::update_job_leases(claimed_worker& worker, monotonic_time now)
{
    worker.job_leases = lease_limit::unlimited();
    for (const auto& [name, run] : worker.runs) {
        worker.job_leases = earlier(worker.job_leases, run.job->lease(now));
    }
}

void cell_controller::state::poll(claimed_worker& worker, bool quick)
{
    bool& pending = quick ? worker.quick_poll_pending : worker.long_poll_pending;
    if (pending || token == 0) {
        return;
    }
    pending = true;
    ++counts.polls;
    const auto now = timers.monotonic_now();
    poll_command command;
    command.token = token;
    command.last_seen_end = worker.last_seen_end;
    command.wait = quick ? duration::zero() : long_poll_wait;
    // The lease of a worker that does not answer is not extended, so that its runs expire at a
    // known time. Nor is that of a worker with runs of an earlier controller, which may rely on
    // their expiry, or of one without runs, where a start would inherit it.
    update_job_leases(worker, now);
    const auto lease = std::min(settings.lease, worker.job_leases.left(now));
    if (worker.clock_ms >= 0 && worker.token_accepted && worker.unanswered_polls == 0 &&
        worker.orphans.empty() && !worker.runs.empty() && lease > duration::zero()) {
        counts.leases_shortened += lease < settings.lease ? 1 : 0;
        command.deadline_ms = worker.clock_estimate(now) + lease.count() / 1000;
        worker.lease_end_ms = std::max(worker.lease_end_ms, command.deadline_ms);
    }
    commands.poll(worker.report, command,
                  [this, alive = alive, id = worker.report.id, sent = token, now,
                   quick](const poll_reply& reply) {
                      if (*alive) {
                          on_poll_reply(id, sent, now, quick, reply);
                      }
                  });
}

void cell_controller::state::on_poll_reply(const std::string& id, std::uint64_t sent_token,
                                           monotonic_time sent_at, bool quick,
                                           const poll_reply& reply)
{
    const auto found = workers.find(id);
    if (found == workers.end()) {
        return;
    }
    auto& worker = *found->second;
    (quick ? worker.quick_poll_pending : worker.long_poll_pending) = false;
    if (token == 0) {
        return;
    }
    const auto now = timers.monotonic_now();
    if (reply.status == command_status::accepted && sent_token == token) {
        if (reply.started_at_ms != 0 && worker.started_at_ms != 0 &&
            reply.started_at_ms != worker.started_at_ms) {
            reset_restarted_worker(worker, reply.started_at_ms);
        }
        if (reply.started_at_ms != 0) {
            worker.started_at_ms = reply.started_at_ms;
        }
        resolve_losses(worker, worker.started_at_ms);
        worker.last_reply = now;
        worker.accepted_poll_sent_at = std::max(worker.accepted_poll_sent_at, sent_at);
        worker.unanswered_polls = 0;
        update_clock(worker, reply.clock_ms);
        const bool first = !std::exchange(worker.token_accepted, true);
        if (first) { // another controller may have renewed its lease just before
            worker.lease_end_ms =
                std::max(worker.lease_end_ms, reply.clock_ms + settings.lease.count() / 1000);
        }
        apply_poll_reply(worker, sent_at, reply);
        if (first || quick) {
            schedule_start_pass();
        }
        poll(worker, false);
        return;
    }
    if (reply.status == command_status::fenced && sent_token == token) {
        worker.token_accepted = false;
        worker.next_poll = now + poll_retry_interval;
        self.on_fenced();
        return;
    }
    if (reply.status == command_status::wrong_incarnation) {
        reset_restarted_worker(worker, 0);
    }
    if (sent_token != token) {
        poll(worker, true);
        return;
    }
    ++worker.unanswered_polls;
    if (worker.unanswered_polls == 1) {
        worker.next_poll = now;
        poll(worker, true); // on another connection, as the first may no longer deliver data
    }
    else {
        worker.next_poll = now + poll_retry_interval;
    }
}

void cell_controller::state::apply_poll_reply(claimed_worker& worker, monotonic_time sent_at,
                                              const poll_reply& reply)
{
    const auto now = timers.monotonic_now();
    for (const auto& row : reply.finished) {
        if (row.number > worker.last_seen_end) {
            worker.last_seen_end = row.number;
            apply_finished(worker, row, now);
        }
    }
    for (const auto& row : reply.running) {
        apply_running(worker, row, now);
    }
    end_missing_runs(worker, sent_at, reply);
}

// A task that was moved to another worker says nothing about its job.
void cell_controller::state::log_history(const claimed_worker& worker, const finished_row& row)
{
    task_ref task;
    const auto run = worker.runs.find(row.task);
    const bool moved =
        row.how == run_end::stopped && run != worker.runs.end() && !run->second.job->ended;
    if (!moved && parse_task_name(row.task, task)) {
        history->add(job_event::run_ended, task.job, worker.report.id, row.run);
        history->log_job(task.job, to_string(row.how));
    }
}

void cell_controller::state::apply_finished(claimed_worker& worker, const finished_row& row,
                                            monotonic_time now)
{
    if (row.how == run_end::lapsed) {
        ++counts.runs_lapsed;
        log_request_event("run_lapsed", "worker={} task={} run={}", worker.report.id, row.task,
                          row.run);
    }
    if (row.how == run_end::lapsed || row.how == run_end::stopped) {
        log_history(worker, row);
    }
    const auto orphan = worker.orphans.extract(row.task);
    const auto it = worker.runs.find(row.task);
    if (it == worker.runs.end()) {
        if (!orphan.empty()) {
            log_request_event("orphan_ended", "worker={} task={} run={} how={} seen_ms={}",
                              worker.report.id, row.task, row.run, to_string(row.how),
                              (now - orphan.mapped().seen_at).count() / 1000);
        }
        task_ref ref;
        if (row.how == run_end::done && parse_task_name(row.task, ref)) {
            orphan_completions.push_back({ref, now});
        }
        schedule_start_pass();
        return;
    }
    auto& run = it->second;
    if (run.run != row.run) {
        return;
    }
    auto& job = *run.job;
    auto& task = job.steps[run.task.step][run.task.index];
    if (row.how == run_end::done) {
        const auto began = std::max(run.sent_at, run.confirmed_at);
        const auto actual = now - began;
        const auto& step = job.request.steps[run.task.step];
        if (!run.adopted && run.confirmed_at != monotonic_time{} && worker.slowness < 1.5) {
            learn_run_time(worker, job.request.terms.queue, step.estimate, actual);
        }
        const double ratio = static_cast<double>(actual.count()) * worker.slowness /
                             static_cast<double>(std::max<duration::rep>(run.predicted.count(), 1));
        // Run times vary by half either way, so only a higher ratio is attributed to the worker.
        const double sample = ratio > 2.0 ? ratio : 1.0;
        if (settings.policies.worker_slowness && !run.adopted) {
            worker.slowness = std::clamp(worker.slowness * 0.7 + sample * 0.3, 1.0, 20.0);
        }
        worker.failure_streak = 0;
        worker.suspension_time = {};
        end_run(worker, row.task, task_state::phase::done);
        return;
    }
    if (row.how == run_end::failed) {
        ++counts.task_failures;
        record_task_failure(worker, job, task);
        ++task.failures;
        task.avoid_worker = worker.report.id;
        if (!job.ended && task.failures >= job.request.terms.attempts) {
            end_run(worker, row.task, task_state::phase::pending);
            if (!job.ended) {
                finish(job, {job_end::failed, {}, "a task used up its attempts"});
            }
            return;
        }
    }
    end_run(worker, row.task, task_state::phase::pending);
}

void cell_controller::state::learn_run_time(claimed_worker& worker, std::string_view queue,
                                            duration estimate, duration actual)
{
    if (settings.policies.worker_speeds) {
        worker.speed.learn(times.log_factor(queue, estimate, actual));
        if (worker.speed.differs_from(times.kind_factor(worker.report.kind))) {
            return;
        }
    }
    times.learn(queue, worker.report.kind, estimate, actual);
}

// Sets the factor of each kind to the median of its workers, so that single workers that differ
// from their kind, or that complete more tasks than others, don't count for more.
void cell_controller::state::update_kind_factors()
{
    constexpr std::size_t min_workers = 3;
    std::map<std::string_view, std::vector<double>> factors;
    for (const auto& [id, worker] : workers) {
        if (worker->speed.is_known() && worker->listed) {
            factors[worker->report.kind].push_back(worker->speed.log_factor());
        }
    }
    for (auto& [kind, values] : factors) {
        if (values.size() >= min_workers) {
            const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
            std::ranges::nth_element(values, middle);
            times.set_kind_factor(kind, *middle);
        }
    }
}

void cell_controller::state::apply_running(claimed_worker& worker, const running_row& row,
                                           monotonic_time now)
{
    const auto it = worker.runs.find(row.task);
    if (it != worker.runs.end() && it->second.run == row.run) {
        auto& run = it->second;
        if (run.at == task_run::phase::starting || run.at == task_run::phase::unconfirmed) {
            run.at = task_run::phase::running;
            run.confirmed_at = now;
        }
        if (run.at == task_run::phase::running) {
            check_progress(worker, run, row.percent, now);
        }
        return;
    }
    if (it != worker.runs.end() && it->second.run > row.run) {
        return; // the reply predates the newer run
    }
    auto& orphan = worker.orphans[row.task];
    if (orphan.seen_at == monotonic_time{}) {
        orphan.seen_at = now;
        log_request_event("orphan_found", "worker={} task={} run={}", worker.report.id, row.task,
                          row.run);
    }
    orphan.run = row.run;
    task_ref ref;
    if (parse_task_name(row.task, ref)) {
        const auto job = jobs.find(ref.job);
        if (settings.policies.orphan_adoption && job != jobs.end() && !job->second->ended) {
            adopt_orphans(*job->second);
        }
    }
}

// Ends runs that the worker has lost. A confirmed run that a later reply lists neither as running
// nor as finished is over, provided that the reply lists all finished runs.
void cell_controller::state::end_missing_runs(claimed_worker& worker, monotonic_time sent_at,
                                              const poll_reply& reply)
{
    std::set<std::string_view> running;
    for (const auto& row : reply.running) {
        running.insert(row.task);
    }
    if (reply.finished_complete) {
        std::erase_if(worker.orphans, [&](const auto& it) { return !running.contains(it.first); });
    }
    std::vector<std::string> missing;
    for (const auto& [name, run] : worker.runs) {
        if (running.contains(name) || !reply.finished_complete) {
            continue;
        }
        const bool confirmed_before =
            run.confirmed_at != monotonic_time{} && sent_at > run.confirmed_at;
        const bool refused_by_now =
            run.confirmed_at == monotonic_time{} && reply.clock_ms > run.latest_start_ms;
        const bool stopped = run.stop_confirmed && sent_at >= run.stop_confirmed_at;
        if (confirmed_before || refused_by_now || stopped) {
            missing.push_back(name);
        }
    }
    for (const auto& name : missing) {
        log_request_event("run_vanished", "worker={} task={}", worker.report.id, name);
        end_run(worker, name, task_state::phase::pending);
    }
    for (auto& [name, run] : worker.runs) {
        if (run.at == task_run::phase::unconfirmed && sent_at > run.sent_at) {
            stop(worker, name, run); // resolves it before its lease expires
        }
    }
}

void cell_controller::state::check_progress(claimed_worker& worker, task_run& run, int percent,
                                            monotonic_time now)
{
    if (percent != run.percent) {
        run.percent = percent;
        run.progress_at = now;
    }
    const auto elapsed = now - std::max(run.sent_at, run.confirmed_at);
    const auto time_limit = std::max(
        min_straggler_time, duration{static_cast<duration::rep>(
                                static_cast<double>(run.predicted.count()) * straggler_ratio)});
    if (!settings.policies.stragglers || elapsed < time_limit || percent >= 100) {
        return;
    }
    auto& job = *run.job;
    auto& task = job.steps[run.task.step][run.task.index];
    const bool is_stalled = now - run.progress_at > no_progress_limit;
    // A run far longer than predicted is either a large task or on a slow worker. Beyond a factor
    // of five the worker is taken to be slow.
    const double rate = std::max(percent, 1) / static_cast<double>(elapsed.count());
    const auto total = static_cast<double>(elapsed.count()) + (100 - percent) / rate;
    const auto remaining = total - static_cast<double>(elapsed.count());
    const double ratio = total * worker.slowness /
                         static_cast<double>(std::max<duration::rep>(run.predicted.count(), 1));
    if (ratio > 2 * straggler_ratio) {
        worker.slowness = std::clamp(ratio, worker.slowness, 20.0);
    }
    const auto min_run_time =
        static_cast<double>(policy.min_run_time(job, job.request.steps[run.task.step]).count());
    const double time_elsewhere = is_stalled
                                      ? min_run_time
                                      : std::max(min_run_time, total * times.fastest_factor() /
                                                                   policy.run_time_factor(worker));
    const auto stop_timeout = static_cast<double>(settings.stop_timeout.count());
    if (job.ended || task.moves >= max_moves ||
        (!is_stalled && remaining < 2 * time_elsewhere + stop_timeout) ||
        now + duration{static_cast<duration::rep>(time_elsewhere)} > job.deadline) {
        return;
    }
    ++task.moves;
    ++counts.stragglers_moved;
    task.avoid_worker = worker.report.id;
    log_request_event(
        "straggler_moved",
        "task={} worker={} percent={} elapsed_ms={} predicted_ms={} slowness={:.1f} still={}",
        to_task_name(run.task), worker.report.id, percent, elapsed.count() / 1000,
        run.predicted.count() / 1000, worker.slowness, is_stalled);
    if (is_stalled) {
        record_task_failure(worker, job, task);
    }
    stop(worker, to_task_name(run.task), run);
}

void cell_controller::state::record_task_failure(claimed_worker& worker, const active_job& job,
                                                 const task_state& task)
{
    // A task that has failed before says nothing about this worker.
    if (!settings.policies.suspension || task.failures != 0 ||
        worker.last_failed_job == job.request.id) {
        return;
    }
    worker.last_failed_job = job.request.id;
    if (++worker.failure_streak < failures_to_suspend) {
        return;
    }
    worker.suspension_time = worker.suspension_time == duration{}
                                 ? min_suspension
                                 : std::min(2 * worker.suspension_time, max_suspension);
    worker.suspended_until = timers.monotonic_now() + worker.suspension_time;
    log_event("worker_closed", "worker={} streak={} for_ms={}", worker.report.id,
              worker.failure_streak, worker.suspension_time.count() / 1000);
}

// Polls a worker whose reply to a start is late. A poll on another connection tells whether the
// start arrived before the start command times out.
void cell_controller::state::poll_if_start_unconfirmed(claimed_worker& worker, monotonic_time now)
{
    bool late = false;
    for (auto& [name, run] : worker.runs) {
        if (run.at == task_run::phase::starting && now - run.sent_at > start_reply_limit) {
            run.at = task_run::phase::unconfirmed;
        }
        late |= run.at == task_run::phase::unconfirmed;
    }
    if (late && worker.token_accepted) {
        poll(worker, true);
    }
}

// Polls a worker with a run that should have ended, as the reply to a poll may have been lost.
// Another connection tells before that poll times out.
void cell_controller::state::poll_if_end_overdue(claimed_worker& worker, monotonic_time now)
{
    if (!settings.policies.overdue_polls || !worker.token_accepted || worker.quick_poll_pending ||
        now - worker.last_reply < overdue_poll_interval) {
        return;
    }
    const bool overdue = std::ranges::any_of(worker.runs, [&](const auto& row) {
        const auto& run = row.second;
        return run.at == task_run::phase::stopping ||
               (run.at == task_run::phase::running &&
                now > std::max(run.sent_at, run.confirmed_at) + run.predicted + overdue_slack);
    });
    if (overdue) {
        poll(worker, true);
    }
}

// Polls a worker whose lease was shortened because its jobs were not renewed, once they are. The
// reply to the pending long poll may come after the end of that lease.
void cell_controller::state::poll_if_lease_is_short(claimed_worker& worker, monotonic_time now)
{
    if (!worker.token_accepted || worker.unanswered_polls != 0 || worker.runs.empty() ||
        !worker.orphans.empty()) {
        return;
    }
    const duration left =
        std::chrono::milliseconds{worker.lease_end_ms - worker.clock_estimate(now)};
    const auto grantable = std::min(settings.lease, worker.job_leases.left(now));
    if (left < short_lease && grantable > left + long_poll_wait) {
        poll(worker, true);
    }
}

void cell_controller::state::check_worker(claimed_worker& worker, monotonic_time now)
{
    if (worker.slowness > 1.0) {
        // Decays, so that the worker gets tasks again and its speed is measured again.
        worker.slowness = std::max(1.0, worker.slowness * 0.995);
    }
    update_job_leases(worker, now);
    poll_if_start_unconfirmed(worker, now);
    poll_if_end_overdue(worker, now);
    poll_if_lease_is_short(worker, now);
    const bool silent = !worker.token_accepted || worker.unanswered_polls != 0;
    if (silent && worker.clock_ms >= 0 && !worker.runs.empty() &&
        now > worker.leases_expired_at()) {
        end_lost_runs(worker, false);
        worker.token_accepted = false;
    }
    if (silent && now >= worker.next_poll && worker.listed) {
        poll(worker, true);
        worker.next_poll = now + poll_retry_interval;
    }
    if (!worker.token_accepted) {
        return;
    }
    for (auto& [name, run] : worker.runs) {
        if (run.at == task_run::phase::stopping && !run.stop_confirmed &&
            now - run.stop_sent_at > stop_retry_interval) {
            stop(worker, name, run);
        }
    }
    for (auto& [name, orphan] : worker.orphans) {
        if (now - orphan.seen_at > orphan_grace &&
            now - orphan.stop_sent_at > stop_retry_interval) {
            if (orphan.stop_sent_at == monotonic_time{}) {
                ++counts.orphans_stopped;
            }
            orphan.stop_sent_at = now;
            commands.stop(worker.report, name, orphan.run, token, [](const command_reply&) {
                // The next poll shows the result; until then the stop is repeated.
            });
        }
    }
}

} // namespace cactusloom
