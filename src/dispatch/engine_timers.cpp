#include "engine.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {
namespace {

// A timer that runs late by more than this indicates that the process was paused.
constexpr duration pause_threshold = std::chrono::milliseconds{100};

constexpr std::size_t max_stops_per_iteration = 256;
constexpr std::size_t max_drops_per_iteration = 512;
constexpr duration retention_interval = std::chrono::milliseconds{100};

template<typename Container>
void release_memory(Container& items)
{
    Container().swap(items);
}

std::size_t retained_size(const job_record& job)
{
    std::size_t sum = sizeof(job_record) + job.id.capacity() + sizeof(job_answer) +
                      job.answer->answers.capacity() * sizeof(std::string);
    for (const std::string& text : job.answer->answers) {
        sum += text.capacity();
    }
    return sum;
}

} // namespace

void dispatcher::engine::on_due(std::uint64_t key)
{
    const auto first = static_cast<std::uint32_t>(key);
    const std::uint32_t second = static_cast<std::uint32_t>(key >> 32U) & ((1U << 28U) - 1);
    switch (static_cast<timer_kind>(key >> 60U)) {
    case timer_kind::job:
        on_job_due(first);
        break;
    case timer_kind::attempt:
        on_attempt_due(first);
        break;
    case timer_kind::retry:
        on_retry_due(first, second);
        break;
    case timer_kind::wait:
        on_wait_due(first, second);
        break;
    case timer_kind::dispatch_queued:
        dispatch_timer_ = timer_wheel::none;
        dispatch_queued();
        break;
    case timer_kind::retention:
        retention_timer_ = timer_wheel::none;
        drop_old_answers(false);
        break;
    }
    deliver();
}

// Handles the deadline of a job, and later the end of the grace for its last replies.
void dispatcher::engine::on_job_due(std::uint32_t job_index)
{
    job_record& job = jobs_[job_index];
    job.timer = timer_wheel::none;
    const monotonic_time time = now();
    const monotonic_time limit = job.deadline + options_.reply_grace;
    const bool is_cancelled = job.is_failing && time < job.deadline;
    if (!is_cancelled && !job.is_failing && job.completed + job.open_tasks < job.size) {
        fail_job(job_index, "the deadline passed before a worker took the task");
        if (job.is_finished() || job.number == 0) {
            return;
        }
    }
    // After a pause of the process, replies may be waiting in the sockets, so the grace is granted
    // once more.
    const bool was_paused = time > limit + pause_threshold && !job.grace_extended;
    job.grace_extended = job.grace_extended || was_paused;
    if (!is_cancelled && (time < limit || was_paused)) {
        job.timer = wheel_.add(was_paused ? time + options_.reply_grace : limit,
                               timer_key(timer_kind::job, job_index));
        return;
    }
    for (std::size_t n = 0; n < job.tasks.size(); ++n) {
        task_record& task = job.tasks[n];
        for (const std::uint32_t attempt_index : task.attempts) {
            if (attempt_index == no_index) {
                continue;
            }
            ++counts_.replies_missing;
            task.is_unknown = true;
            task.state = task_phase::ended;
            // Reports a lost reply to the router, unless a stop was sent and the slot was released
            // then.
            release_slot(attempts_[attempt_index], {});
            abandon_attempt(attempt_index, start_status::reply_lost);
        }
    }
    if (job.is_failing) {
        finish_if_done(job_index);
    }
    else {
        fail_job(job_index, "no reply from the worker within the deadline");
    }
    dispatch_queued();
}

void dispatcher::engine::on_attempt_due(std::uint32_t attempt_index)
{
    attempt_record& attempt = attempts_[attempt_index];
    attempt.timer = timer_wheel::none;
    if (attempt.stop_sent) {
        return;
    }
    const monotonic_time time = now();
    if (time >= attempt.lease_end) {
        // The process was paused past the end of the lease. The worker stops the task by itself and
        // another holder may act on it, so the lease is not renewed and only the reply is awaited.
        ++counts_.leases_lapsed;
        return;
    }
    if (time >= attempt.hedge_at) {
        attempt.hedge_at = monotonic_time::max();
        try_hedge(attempt_index);
    }
    // try_hedge() may have reallocated the records.
    attempt_record& it = attempts_[attempt_index];
    if (time >= it.renew_at) {
        ++counts_.lease_renewals;
        hedges_.record_extra_messages(1.0);
        const duration lease = jobs_[it.job].accepted_settings->lease;
        workers_.renew(it.worker, task_id(jobs_[it.job], it), lease);
        it.lease_end = time + lease;
        it.renew_at = time + lease / 2;
    }
    arm_timer(it, attempt_index);
}

void dispatcher::engine::try_hedge(std::uint32_t attempt_index)
{
    const attempt_record& attempt = attempts_[attempt_index];
    const job_record& job = jobs_[attempt.job];
    // A queued task has not run at all and needs a free slot more than a hedge does.
    if (job.is_failing || job.tasks[attempt.task].starts >= max_starts_per_task ||
        now() >= job.deadline || queues_[job.queue].size() > 0 ||
        !hedges_.can_afford(hedge_policy::messages_per_hedge)) {
        return;
    }
    const auto worker = router_.pick({job.kind, job.number, attempt.worker});
    if (!worker || *worker == attempt.worker) {
        return;
    }
    ++counts_.task_hedges;
    hedges_.record_extra_messages(hedge_policy::messages_per_retry);
    start_attempt(attempt.job, attempt.task, *worker);
}

void dispatcher::engine::arm_timer(attempt_record& attempt, std::uint32_t attempt_index)
{
    attempt.timer = wheel_.add(std::min(attempt.renew_at, attempt.hedge_at),
                               timer_key(timer_kind::attempt, attempt_index));
}

void dispatcher::engine::retry_later(std::uint32_t job_index, std::uint32_t task_number)
{
    task_record& task = jobs_[job_index].tasks[task_number];
    task.state = task_phase::backing_off;
    task.backoffs = static_cast<std::uint8_t>(std::min(task.backoffs + 1, 255));
    task.retry_timer = wheel_.add(now() + retries_.backoff(task.backoffs),
                                  timer_key(timer_kind::retry, job_index, task_number));
}

void dispatcher::engine::on_retry_due(std::uint32_t job_index, std::uint32_t task_number)
{
    job_record& job = jobs_[job_index];
    task_record& task = job.tasks[task_number];
    task.retry_timer = timer_wheel::none;
    const monotonic_time time = now();
    if (time >= job.deadline) {
        return; // handled by the timer of the job
    }
    if (time >= job.received + std::chrono::milliseconds{task.lease_end_ms}) {
        task.state = task_phase::ended;
        fail_job(job_index, "not retried after the end of the lease");
        return;
    }
    // Waiting for a token sends no messages, so it does not add to an overload.
    if (!retries_.try_take()) {
        ++counts_.retry_budget_empty;
        retry_later(job_index, task_number);
        return;
    }
    task.state = task_phase::waiting;
    job.retry_queue.push_back(task_number);
    queues_[job.queue].push_retry(job_index, job.team, refreshed_state(job.kind, time).median);
    dispatch_queued();
}

void dispatcher::engine::on_wait_due(std::uint32_t job_index, std::uint32_t number)
{
    job_record& job = jobs_[job_index];
    const auto it = std::find_if(job.waiters.begin(), job.waiters.end(),
                                 [number](const auto& waiter) { return waiter.number == number; });
    if (it == job.waiters.end()) {
        return;
    }
    auto answer = std::make_shared<job_answer>();
    answer->state = job_state::running;
    deliveries_.push_back({std::move(it->done), std::move(answer)});
    job.waiters.erase(it);
}

void dispatcher::engine::finish(std::uint32_t job_index)
{
    job_record& job = jobs_[job_index];
    auto answer = std::make_shared<job_answer>();
    if (job.completed == job.size) {
        answer->state = job_state::completed;
        answer->answers = std::move(job.payloads_or_answers);
        job.reason.clear();
        ++counts_.jobs_completed;
    }
    else {
        bool has_run = false;
        bool is_unknown = false;
        for (const task_record& task : job.tasks) {
            has_run = has_run || task.has_run || task.state == task_phase::completed;
            is_unknown = is_unknown || (task.is_unknown && task.state != task_phase::completed);
        }
        answer->state = is_unknown ? job_state::unknown
                        : has_run  ? job_state::failed_after_run
                                   : job_state::failed_not_run;
        answer->reason = job.reason;
        ++(is_unknown ? counts_.jobs_unknown
           : has_run  ? counts_.jobs_failed_after_run
                      : counts_.jobs_failed_not_run);
    }
    // Only the answer is kept, so that retained jobs are small.
    release_memory(job.payloads_or_answers);
    release_memory(job.retry_queue);
    job.accepted_settings.reset();
    job.tasks.clear();
    job.tasks.shrink_to_fit();
    wheel_.cancel(job.timer);
    job.finished_at = now();
    if (answer->state == job_state::completed) {
        latency_.record(job.finished_at - job.received);
    }
    job.answer = std::move(answer);
    for (answer_waiter& it : job.waiters) {
        wheel_.cancel(it.timer);
        deliveries_.push_back({std::move(it.done), job.answer});
    }
    release_memory(job.waiters);
    --open_jobs_;
    if (observer_ != nullptr) {
        const auto to_wall = [&job](monotonic_time time) {
            return job.received_wall + (time - job.received);
        };
        observer_->job_finished(job.number,
                                {job.id, job.answer->state, job.answer->reason, job.received_wall,
                                 job.started > 0 ? to_wall(job.first_start) : wall_time{},
                                 to_wall(job.finished_at)});
    }
    retained_.push_back(job_index);
    retained_bytes_ += retained_size(job);
    drop_old_answers(true);
    if (is_shutting_down_ && open_jobs_ == 0) {
        schedule_deferred_work();
    }
}

// Drops answers in excess of the memory bound and, unless `only_excess`, those whose retention has
// ended. The registry still knows their ids, so that they are never run again.
void dispatcher::engine::drop_old_answers(bool only_excess)
{
    const monotonic_time time = now();
    const duration retention = settings_->limits.answer_retention;
    for (std::size_t n = 0; n < max_drops_per_iteration && !retained_.empty(); ++n) {
        const job_record& oldest = jobs_[retained_.front()];
        const bool is_excess = retained_bytes_ > options_.max_retained_bytes;
        if (!is_excess && (only_excess || time < oldest.finished_at + retention)) {
            break;
        }
        counts_.answers_dropped += is_excess ? 1 : 0;
        drop_job(retained_.front());
        retained_.pop_front();
    }
    if (!retained_.empty() && retention_timer_ == timer_wheel::none) {
        const monotonic_time due = jobs_[retained_.front()].finished_at + retention;
        retention_timer_ = wheel_.add(std::max(due, time + retention_interval),
                                      timer_key(timer_kind::retention, 0));
    }
}

void dispatcher::engine::drop_job(std::uint32_t job_index)
{
    job_record& job = jobs_[job_index];
    retained_bytes_ -= retained_size(job);
    jobs_by_id_.erase(job.id_hash);
    job = job_record{};
    free_jobs_.push_back(job_index);
}

void dispatcher::engine::schedule_deferred_work()
{
    if (deferred_work_timer_ == 0) {
        deferred_work_timer_ = timers_.schedule(duration::zero(), [this] { run_deferred_work(); });
    }
}

void dispatcher::engine::run_deferred_work()
{
    deferred_work_timer_ = 0;
    for (std::size_t n = 0; n < max_stops_per_iteration && !pending_stops_.empty(); ++n) {
        const auto [attempt_index, generation] = pending_stops_.front();
        pending_stops_.pop_front();
        if (attempts_[attempt_index].is_open && attempts_[attempt_index].generation == generation) {
            send_stop(attempts_[attempt_index]);
        }
    }
    dispatch_queued();
    deliver();
    if (!pending_stops_.empty()) {
        schedule_deferred_work();
    }
    if (is_shutting_down_ && open_jobs_ == 0 && deliveries_.empty() && drained_) {
        std::exchange(drained_, nullptr)();
    }
}

// Calls the callbacks that are ready now. Those added meanwhile are left to a later iteration of
// the event loop, so that a caller that waits again at once cannot block the loop.
void dispatcher::engine::deliver()
{
    if (deliveries_.empty()) {
        return;
    }
    std::vector<delivery> ready;
    ready.swap(deliveries_);
    for (const delivery& it : ready) {
        it.done(*it.answer);
    }
    if (!deliveries_.empty()) {
        schedule_deferred_work();
    }
}

std::string_view dispatcher::engine::task_id(const job_record& job, const attempt_record& attempt)
{
    // The id may contain dots too, but exactly two fields follow it, so the task id is unique.
    task_id_.clear();
    fmt::format_to(std::back_inserter(task_id_), "{}.{}.{}", job.id, attempt.task,
                   attempt.start_number);
    return task_id_;
}

void dispatcher::engine::update_quota(team_index team)
{
    const bool is_over = quotas_.is_over(team);
    for (fair_queue& queue : queues_) {
        queue.set_over_quota(team, is_over);
    }
}

} // namespace cactusloom
