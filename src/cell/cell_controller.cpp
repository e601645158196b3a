#include "cell/cell_controller.h"

#include "base/log.h"
#include "controller_state.h"

#include <algorithm>
#include <utility>

namespace cactusloom {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{25};

} // namespace

cell_counts& cell_counts::operator+=(const cell_counts& other)
{
    jobs_completed += other.jobs_completed;
    jobs_failed += other.jobs_failed;
    jobs_not_run += other.jobs_not_run;
    jobs_unknown += other.jobs_unknown;
    starts += other.starts;
    starts_without_reply += other.starts_without_reply;
    starts_invalid += other.starts_invalid;
    polls += other.polls;
    leases_shortened += other.leases_shortened;
    stops += other.stops;
    task_failures += other.task_failures;
    runs_lapsed += other.runs_lapsed;
    stragglers_moved += other.stragglers_moved;
    workers_lost += other.workers_lost;
    orphans_adopted += other.orphans_adopted;
    orphans_stopped += other.orphans_stopped;
    return *this;
}

cell_controller::cell_controller(timer_service& timers, worker_commands& commands,
                                 const cell_settings& settings,
                                 std::shared_ptr<crash_ledger> losses,
                                 std::shared_ptr<job_history> history)
    : on_worker_loss([](const worker_loss&) {}), on_fenced([] {}), on_used_workers_changed([] {}),
      state_(std::make_unique<state>(timers, commands, settings, *this))
{
    state_->losses = losses ? std::move(losses) : std::make_shared<crash_ledger>(timers);
    state_->history = history ? std::move(history) : std::make_shared<job_history>(timers);
}

cell_controller::~cell_controller()
{
    *state_->alive = false;
    state_->timers.cancel(state_->tick_timer);
}

void cell_controller::claim(std::uint64_t token)
{
    if (token <= state_->token) {
        return;
    }
    log_event("cell_claimed", "token={} workers={}", token, state_->workers.size());
    const bool first = state_->token == 0;
    state_->token = token;
    state_->claimed_at = state_->timers.monotonic_now();
    for (auto& [id, worker] : state_->workers) {
        worker->token_accepted = false;
        worker->next_poll = state_->claimed_at;
        state_->poll(*worker, true);
    }
    if (first) {
        state_->first_claimed_at = state_->claimed_at;
        state_->tick();
    }
}

void cell_controller::release()
{
    if (state_->token == 0) {
        return;
    }
    log_event("cell_released", "token={} jobs={} runs={} leases_end_ms={}", state_->token,
              state_->jobs.size(), state_->run_count(),
              (state_->latest_lease_end() - state_->timers.monotonic_now()).count() / 1000);
    state_->token = 0;
    state_->timers.cancel(state_->tick_timer);
    const auto jobs = std::exchange(state_->jobs, {});
    const auto workers = std::exchange(state_->workers, {});
    state_->orphan_completions.clear();
    for (const auto& [id, worker] : workers) {
        auto& kept = state_->workers[id];
        kept = std::make_unique<claimed_worker>();
        kept->report = worker->report;
        kept->listed = worker->listed;
        kept->started_at_ms = worker->started_at_ms;
    }
    for (const auto& [id, job] : jobs) {
        const job_outcome moved{job_end::moved, {}, "control has moved"};
        if (job->answer) {
            job->answer(moved);
        }
        if (job->next) {
            job->next->answer(moved);
        }
    }
}

bool cell_controller::is_claimed() const
{
    return state_->token != 0;
}

void cell_controller::set_workers(std::span<const worker_report> workers)
{
    state_->set_workers(workers);
}

void cell_controller::set_worker_list_time(monotonic_time read_started_at)
{
    state_->worker_list_time = read_started_at;
    state_->schedule_start_pass();
}

void cell_controller::submit(job_request job, const peer_link& requester, answer fn)
{
    state_->submit(std::move(job), requester, std::move(fn));
}

void cell_controller::abandon(std::string_view job_id, const peer_link& requester)
{
    const auto it = state_->jobs.find(job_id);
    if (it == state_->jobs.end()) {
        return;
    }
    const auto is_submitter = [&requester](const peer_link& submitter) {
        return submitter.is_of(requester.process) && !requester.is_replaced_by(submitter);
    };
    state_->abandon_if(*it->second, is_submitter, false);
}

bool cell_controller::has_open_job(std::string_view job_id) const
{
    const auto it = state_->jobs.find(job_id);
    return it != state_->jobs.end() && (!it->second->ended || it->second->next);
}

void cell_controller::cancel(std::string_view job_id)
{
    const auto it = state_->jobs.find(job_id);
    if (it != state_->jobs.end()) {
        state_->cancel(*it->second);
    }
}

void cell_controller::abandon_not_resubmitted(const peer_link& newest)
{
    const auto is_submitter = [&newest](const peer_link& submitter) {
        return submitter.is_replaced_by(newest);
    };
    for (const auto& [id, job] : state_->jobs) {
        state_->abandon_if(*job, is_submitter, true);
    }
}

void cell_controller::abandon_all_of(const instance_process& requester)
{
    const auto is_submitter = [&requester](const peer_link& submitter) {
        return submitter.is_of(requester);
    };
    for (const auto& [id, job] : state_->jobs) {
        state_->abandon_if(*job, is_submitter, true);
    }
}

void cell_controller::apply_loss(const worker_loss& loss)
{
    state_->apply_loss(loss);
}

worker_set cell_controller::used_workers() const
{
    worker_set out;
    for (const auto& [id, worker] : state_->workers) {
        if ((worker->token_accepted && worker->listed) || !worker->runs.empty()) {
            out.insert(worker_id_hash(id));
        }
    }
    return out;
}

std::size_t cell_controller::pending_jobs(std::string_view queue) const
{
    std::size_t n = 0;
    for (const auto& [id, job] : state_->jobs) {
        if (!job->ended && !job->started && job->request.terms.queue == queue) {
            ++n;
        }
    }
    return n;
}

const cell_counts& cell_controller::counts() const
{
    return state_->counts;
}

std::size_t cell_controller::state::run_count() const
{
    std::size_t n = 0;
    for (const auto& [id, worker] : workers) {
        n += worker->runs.size();
    }
    return n;
}

monotonic_time cell_controller::state::latest_lease_end() const
{
    auto latest = timers.monotonic_now();
    for (const auto& [id, worker] : workers) {
        if (!worker->runs.empty()) {
            latest = std::max(latest, worker->leases_expired_at());
        }
    }
    return latest;
}

void cell_controller::state::tick()
{
    if (token == 0) {
        return;
    }
    tick_timer = timers.schedule(tick_interval, [this] { tick(); });
    const auto now = timers.monotonic_now();
    for (auto& [id, worker] : workers) {
        check_worker(*worker, now);
    }
    for (auto it = workers.begin(); it != workers.end();) {
        it = it->second->is_removable(now) ? workers.erase(it) : std::next(it);
    }
    update_kind_factors();
    cores = usable_speed();
    expire_jobs(now);
    log_idle_capacity(now);
    schedule_start_pass();
}

} // namespace cactusloom
