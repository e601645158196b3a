#include "engine.h"

#include "base/hash.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace cactusloom {
namespace {

// Interval at which queued tasks are offered to the router again, since room can also appear
// without a reply: a load report ages, an ejected worker returns.
constexpr duration dispatch_interval = std::chrono::milliseconds{10};

// Bound on starts in one iteration of the event loop.
constexpr int max_starts_per_iteration = 256;

// Completed tasks of a kind before its run times are used for shedding. Declared run times are
// often far off, and shedding by them would prevent the true ones from being learned.
constexpr std::uint64_t min_samples = 20;

// Predicted waits are increased by an eighth (1 / prediction_slack) because run times vary. Without
// it, 2.2 % of the accepted tasks are shed at ten times the capacity.
constexpr int prediction_slack = 8;

constexpr duration quantile_refresh_interval = std::chrono::milliseconds{50};
constexpr duration min_deadline = std::chrono::milliseconds{1};

// Digest of the content that must be equal when a submission is repeated. It excludes the deadline,
// since a caller that repeats a submission has less time left.
std::uint64_t digest_of(const submission_request& request)
{
    std::uint64_t digest = hash64(request.customer, request.payloads.size());
    digest = hash64(request.kind, digest);
    for (const std::string& payload : request.payloads) {
        digest = hash64(payload, digest);
    }
    return digest;
}

std::vector<double> weights_of(const std::vector<team_quota>& teams)
{
    constexpr double min_weight = 0.001;
    std::vector<double> weights;
    weights.reserve(teams.size());
    for (const team_quota& it : teams) {
        weights.push_back(std::max(it.weight, min_weight));
    }
    return weights;
}

} // namespace

dispatcher::engine::engine(const deployment& settings, dispatcher_options options,
                           const dependencies& deps)
    : options_(std::move(options)), workers_(deps.workers), router_(deps.task_router),
      timers_(deps.timers), observer_(deps.observer),
      counts_(deps.metrics != nullptr ? *deps.metrics : own_counters_), quotas_({}, options_.share),
      retries_(settings.profile.retry_ratio, static_cast<std::uint32_t>(options_.seed) + 1),
      hedges_(settings.profile), registry_(options_.max_remembered_ids),
      wheel_(deps.timers, [this](std::uint64_t key) { on_due(key); })
{
    apply(settings);
}

void dispatcher::engine::apply(const deployment& settings)
{
    settings_ = std::make_shared<const deployment>(settings);
    retries_.set_ratio(settings.profile.retry_ratio);
    hedges_.apply(settings.profile);

    // Queued and running tasks refer to teams by position, so positions must not change.
    std::unordered_map<std::string_view, team_index> positions;
    const auto find_or_add = [this](const team_quota& team) {
        const auto it = std::find_if(teams_.begin(), teams_.end(),
                                     [&](const auto& known) { return known.name == team.name; });
        const auto n = static_cast<team_index>(it - teams_.begin());
        if (it == teams_.end()) {
            teams_.push_back(team);
        }
        else {
            *it = team;
        }
        return n;
    };
    for (const team_quota& team : settings_->teams) {
        positions.emplace(team.name, find_or_add(team));
    }
    const team_index fallback = settings_->teams.empty() ? find_or_add({}) : 0;
    quotas_.update(teams_);
    const auto weights = weights_of(teams_);
    for (fair_queue& queue : queues_) {
        queue.update(weights, settings_->limits.max_queued_tasks);
    }

    kinds_by_name_.clear();
    kinds_.resize(settings_->kinds.size());
    for (kind_index n = 0; n < settings_->kinds.size(); ++n) {
        const request_kind& kind = settings_->kinds[n];
        if (!kind.retired) {
            kinds_by_name_.emplace(kind.name, n);
        }
        const auto it = std::find(queue_needs_.begin(), queue_needs_.end(), kind.needs);
        kinds_[n].queue = static_cast<std::uint32_t>(it - queue_needs_.begin());
        if (it == queue_needs_.end()) {
            queue_needs_.push_back(kind.needs);
            queues_.emplace_back(weights, settings_->limits.max_queued_tasks);
        }
    }
    teams_by_customer_.clear();
    for (const customer_settings& customer : settings_->customers) {
        const auto it = positions.find(customer.team);
        teams_by_customer_.emplace(customer.id, it == positions.end() ? fallback : it->second);
    }
    for (team_index team = 0; team < teams_.size(); ++team) {
        update_quota(team);
    }
}

dispatcher::engine::~engine()
{
    timers_.cancel(deferred_work_timer_);
}

result<void> dispatcher::engine::submit(submission_request request)
{
    const auto parsed = parse_submission_id(request.id, options_.checksum_key);
    if (!parsed) {
        return refuse(request, parsed.error());
    }
    const submission_prefix& prefix = parsed.value().prefix;
    if (prefix.instance != options_.instance || prefix.incarnation != options_.incarnation) {
        return refuse(request, {errc::not_found, "the id was issued by another instance"});
    }
    const std::uint64_t id_hash = hash64(request.id);
    const std::uint64_t digest = digest_of(request);
    if (const auto it = jobs_by_id_.find(id_hash); it != jobs_by_id_.end()) {
        const job_record& job = jobs_[it->second];
        if (job.id != request.id) {
            return refuse(request, {errc::not_found, "the id cannot be told from another one"});
        }
        if (job.body_digest != digest) {
            return refuse(request, {errc::conflict, "the id was used with other content"});
        }
        ++counts_.jobs_joined;
        return boost::outcome_v2::success();
    }
    using verdict = submission_registry::verdict;
    switch (registry_.find(id_hash, digest, prefix.issued, now())) {
    case verdict::known:
        return refuse(request, {errc::not_found, "the answer is no longer kept"});
    case verdict::conflict:
        return refuse(request, {errc::conflict, "the id was used with other content"});
    case verdict::expired:
        return refuse(request, {errc::not_found, "the prefix has expired"});
    case verdict::invalid:
        return refuse(request, {errc::invalid_argument, "the prefix was not issued yet"});
    case verdict::fresh:
    case verdict::full:
        break;
    }
    if (auto checked = check(request); !checked) {
        return refuse(request, checked.error());
    }
    // Refused submissions are not recorded: none of their tasks ran, so they may be repeated.
    if (registry_.try_insert(id_hash, digest, prefix.issued, now()) != verdict::fresh) {
        return refuse(request, {errc::unavailable, "too many submissions are remembered"});
    }
    accept(std::move(request), id_hash, digest);
    return boost::outcome_v2::success();
}

// Returns the reason for refusing a new submission, if there is one.
result<void> dispatcher::engine::check(const submission_request& request) const
{
    const auto kind = kinds_by_name_.find(request.kind);
    if (kind == kinds_by_name_.end()) {
        return failure(errc::invalid_argument, fmt::format("unknown kind '{}'", request.kind));
    }
    const auto team = teams_by_customer_.find(request.customer);
    if (team == teams_by_customer_.end()) {
        return failure(errc::invalid_argument,
                       fmt::format("unknown customer '{}'", request.customer));
    }
    const std::size_t tasks = request.payloads.size();
    if (tasks == 0 || tasks > settings_->limits.max_tasks_per_job) {
        return failure(errc::invalid_argument,
                       fmt::format("a job has 1 to {} tasks, not {}",
                                   settings_->limits.max_tasks_per_job, tasks));
    }
    if (request.deadline != duration::zero() &&
        (request.deadline < min_deadline || request.deadline > settings_->limits.max_deadline)) {
        return failure(errc::invalid_argument,
                       fmt::format("a deadline is 1 to {} ms",
                                   settings_->limits.max_deadline / std::chrono::milliseconds{1}));
    }
    const request_kind& settings = settings_->kinds[kind->second];
    if (!router_.can_ever_run(kind->second)) {
        return failure(errc::invalid_argument,
                       fmt::format("no worker can ever run '{}', which needs [{}]", settings.name,
                                   fmt::join(settings.needs, ", ")));
    }
    if (is_shutting_down_) {
        return failure(errc::unavailable, "the instance is shutting down");
    }
    const kind_state& state = kinds_[kind->second];
    const fair_queue& queue = queues_[state.queue];
    if (!queue.has_room(team->second, tasks)) {
        return failure(errc::unavailable, "the queue is full");
    }
    if (queue.size() > 0 || tasks > 1) {
        const duration deadline =
            request.deadline != duration::zero() ? request.deadline : settings.default_deadline;
        const duration limit =
            deadline != duration::zero() ? deadline : settings_->limits.max_deadline;
        const auto position = queue.estimate_position(team->second, tasks);
        const duration margin =
            state.samples < min_samples ? duration::zero() : std::min(state.p99, limit / 2);
        const duration predicted_wait = router_.expected_wait(position);
        if (predicted_wait > duration::zero() &&
            predicted_wait + predicted_wait / prediction_slack + margin > limit) {
            return failure(errc::unavailable,
                           fmt::format("overload: predicted start after {} ms, deadline {} ms",
                                       predicted_wait / std::chrono::milliseconds{1},
                                       limit / std::chrono::milliseconds{1}));
        }
    }
    return boost::outcome_v2::success();
}

result<void> dispatcher::engine::refuse(const submission_request& request, error reason)
{
    ++counts_.jobs_refused;
    if (observer_ != nullptr) {
        observer_->job_refused({request.id, request.customer, request.kind, request.payloads.size(),
                                timers_.wall_now()},
                               reason);
    }
    return boost::outcome_v2::failure(std::move(reason));
}

void dispatcher::engine::accept(submission_request request, std::uint64_t id_hash,
                                std::uint64_t digest)
{
    const std::uint32_t job_index = add_job();
    job_record& job = jobs_[job_index];
    const kind_index kind = kinds_by_name_.find(request.kind)->second;
    const request_kind& settings = settings_->kinds[kind];
    duration limit = request.deadline;
    if (limit == duration::zero()) {
        limit = settings.default_deadline;
    }
    if (limit == duration::zero()) {
        limit = settings_->limits.max_deadline;
    }
    job.number = ++last_job_;
    job.id_hash = id_hash;
    job.body_digest = digest;
    job.received = now();
    job.received_wall = timers_.wall_now();
    job.deadline = job.received + limit;
    job.kind = kind;
    job.queue = kinds_[kind].queue;
    job.accepted_settings = settings_;
    job.team = teams_by_customer_.find(request.customer)->second;
    job.size = static_cast<std::uint32_t>(request.payloads.size());
    job.tasks.resize(job.size);
    job.timer = wheel_.add(job.deadline, timer_key(timer_kind::job, job_index));
    ++open_jobs_;
    ++counts_.jobs_accepted;
    if (observer_ != nullptr) {
        observer_->job_received(
            job.number, {request.id, request.customer, request.kind, job.size, job.received_wall});
    }
    job.id = std::move(request.id);
    job.payloads_or_answers = std::move(request.payloads);
    jobs_by_id_.emplace(id_hash, job_index);
    queues_[job.queue].push(job_index, job.team, refreshed_state(kind, job.received).median,
                            job.size);
    dispatch_queued();
    if (!deliveries_.empty()) {
        schedule_deferred_work();
    }
}

std::uint32_t dispatcher::engine::find(std::string_view id) const
{
    const auto it = jobs_by_id_.find(hash64(id));
    return it != jobs_by_id_.end() && jobs_[it->second].id == id ? it->second : no_index;
}

std::uint32_t dispatcher::engine::add_job()
{
    if (free_jobs_.empty()) {
        jobs_.emplace_back();
        return static_cast<std::uint32_t>(jobs_.size() - 1);
    }
    const std::uint32_t job_index = free_jobs_.back();
    free_jobs_.pop_back();
    return job_index;
}

void dispatcher::engine::wait(std::string_view id, duration limit, answer_callback done)
{
    const std::uint32_t job_index = find(id);
    if (job_index == no_index) {
        auto answer = std::make_shared<job_answer>();
        answer->reason = "the id is not known here";
        deliveries_.push_back({std::move(done), std::move(answer)});
        schedule_deferred_work();
        return;
    }
    job_record& job = jobs_[job_index];
    if (job.is_finished()) {
        deliveries_.push_back({std::move(done), job.answer});
        schedule_deferred_work();
        return;
    }
    // The number identifies a waiter of the job and fits into the key of its timer.
    constexpr std::uint32_t number_mask = (1U << 28U) - 1;
    const std::uint32_t number = ++job.last_waiter & number_mask;
    const auto timer = wheel_.add(now() + limit, timer_key(timer_kind::wait, job_index, number));
    job.waiters.push_back({number, timer, std::move(done)});
}

result<job_status> dispatcher::engine::status(std::string_view id) const
{
    const std::uint32_t job_index = find(id);
    if (job_index == no_index) {
        return failure(errc::not_found, "the id is not known here");
    }
    const job_record& job = jobs_[job_index];
    job_status status;
    status.state = job.is_finished() ? job.answer->state : job_state::running;
    status.tasks = job.size;
    status.started = job.started;
    status.finished = job.completed;
    status.reason = job.reason;
    return status;
}

result<void> dispatcher::engine::cancel(std::string_view id)
{
    const std::uint32_t job_index = find(id);
    if (job_index == no_index) {
        return failure(errc::not_found, "the id is not known here");
    }
    job_record& job = jobs_[job_index];
    if (job.is_finished() || job.is_failing) {
        return boost::outcome_v2::success();
    }
    ++counts_.jobs_cancelled;
    // Stops are sent in later iterations of the event loop, a bounded number in each, so that many
    // cancellations at once do not block the loop.
    for (const task_record& task : job.tasks) {
        for (const std::uint32_t attempt_index : task.attempts) {
            if (attempt_index != no_index) {
                pending_stops_.emplace_back(attempt_index, attempts_[attempt_index].generation);
            }
        }
    }
    wheel_.cancel(job.timer);
    job.timer = wheel_.add(now() + options_.reply_grace, timer_key(timer_kind::job, job_index));
    fail_job(job_index, "cancelled");
    schedule_deferred_work();
    return boost::outcome_v2::success();
}

std::string dispatcher::engine::issue_prefix() const
{
    return make_prefix({options_.instance, options_.data_centre, options_.incarnation, now()},
                       options_.checksum_key);
}

void dispatcher::engine::shut_down(std::function<void()> drained)
{
    is_shutting_down_ = true;
    drained_ = std::move(drained);
    schedule_deferred_work();
}

void dispatcher::engine::set_share(double share)
{
    quotas_.set_share(share);
    for (team_index team = 0; team < teams_.size(); ++team) {
        update_quota(team);
    }
}

std::size_t dispatcher::engine::queued_tasks() const
{
    std::size_t sum = 0;
    for (const fair_queue& queue : queues_) {
        sum += queue.size();
    }
    return sum;
}

std::size_t dispatcher::engine::bytes() const
{
    constexpr std::size_t map_node_bytes = 40; // next pointer, value and malloc overhead
    std::size_t sum = sizeof(*this) + registry_.bytes() + wheel_.bytes() +
                      jobs_.size() * sizeof(job_record) + jobs_by_id_.size() * map_node_bytes +
                      jobs_by_id_.bucket_count() * sizeof(void*) +
                      attempts_.capacity() * sizeof(attempt_record);
    for (const job_record& job : jobs_) {
        sum += job.id.capacity() + job.payloads_or_answers.capacity() * sizeof(std::string) +
               (job.tasks.capacity() > 1 ? job.tasks.capacity() * sizeof(task_record) : 0) +
               job.waiters.capacity() * sizeof(answer_waiter) +
               (job.answer ? sizeof(job_answer) : 0);
        const auto& payloads_or_answers =
            job.answer ? job.answer->answers : job.payloads_or_answers;
        for (const std::string& text : payloads_or_answers) {
            sum += text.capacity();
        }
    }
    return sum;
}

// Starts queued tasks while the router finds workers with room, up to max_starts_per_iteration.
void dispatcher::engine::dispatch_queued()
{
    int starts_left = max_starts_per_iteration;
    bool has_queued = false;
    for (fair_queue& queue : queues_) {
        has_queued = dispatch_from(queue, starts_left) || has_queued;
    }
    if (starts_left == 0) {
        schedule_deferred_work();
    }
    else if (has_queued && dispatch_timer_ == timer_wheel::none) {
        dispatch_timer_ =
            wheel_.add(now() + dispatch_interval, timer_key(timer_kind::dispatch_queued, 0));
    }
}

// Returns whether tasks are left in the queue.
bool dispatcher::engine::dispatch_from(fair_queue& queue, int& starts_left)
{
    while (const auto job_index = queue.front()) {
        if (starts_left == 0) {
            return true;
        }
        const job_record& job = jobs_[*job_index];
        if (would_miss_deadline(job, now())) {
            fail_job(*job_index, "shed: would not finish within its deadline");
            --starts_left;
            continue;
        }
        routing_query query{job.kind, job.number, std::nullopt};
        if (!job.retry_queue.empty()) {
            query.excluded = job.tasks[job.retry_queue.back()].last_worker;
        }
        const auto worker = router_.pick(query);
        if (!worker) {
            return true;
        }
        queue.pop();
        start_next(*job_index, *worker);
        --starts_left;
    }
    return false;
}

void dispatcher::engine::start_next(std::uint32_t job_index, worker_id worker)
{
    job_record& job = jobs_[job_index];
    std::uint32_t task = 0;
    if (job.retry_queue.empty()) {
        task = job.next_waiting++;
        ++job.started;
        retries_.record_first_start();
        hedges_.record_first_start();
        if (job.started == 1) {
            job.first_start = now();
        }
    }
    else {
        task = job.retry_queue.back();
        job.retry_queue.pop_back();
        ++counts_.task_retries;
        hedges_.record_extra_messages(hedge_policy::messages_per_retry);
    }
    start_attempt(job_index, task, worker);
}

void dispatcher::engine::start_attempt(std::uint32_t job_index, std::uint32_t task_number,
                                       worker_id worker)
{
    job_record& job = jobs_[job_index];
    task_record& task = job.tasks[task_number];
    const request_kind& kind = job.accepted_settings->kinds[job.kind];
    const monotonic_time time = now();
    std::uint32_t attempt_index = 0;
    if (free_attempts_.empty()) {
        attempt_index = static_cast<std::uint32_t>(attempts_.size());
        attempts_.emplace_back();
    }
    else {
        attempt_index = free_attempts_.back();
        free_attempts_.pop_back();
    }
    if (!task.is_open()) {
        ++job.open_tasks;
    }
    task.attempts[task.attempts[0] == no_index ? 0 : 1] = attempt_index;
    task.state = task_phase::running;
    task.last_worker = worker;
    ++task.starts;

    attempt_record& attempt = attempts_[attempt_index];
    attempt.job = job_index;
    attempt.task = task_number;
    attempt.worker = worker;
    attempt.start_number = task.starts;
    attempt.is_open = true;
    attempt.holds_slot = true;
    attempt.stop_sent = false;
    attempt.started = time;
    attempt.lease_end = time + job.accepted_settings->lease;
    attempt.renew_at = time + job.accepted_settings->lease / 2;
    attempt.hedge_at = monotonic_time::max();
    task.lease_end_ms = static_cast<std::uint32_t>((attempt.lease_end - job.received) /
                                                   std::chrono::milliseconds{1});
    if (task.starts == 1 && kind.second_start) {
        const kind_state& state = refreshed_state(job.kind, time);
        if (const auto delay = hedges_.delay(kind, state.hedge_after, state.samples)) {
            attempt.hedge_at = time + *delay;
        }
    }
    arm_timer(attempt, attempt_index);

    ++counts_.task_starts;
    quotas_.record_start(job.team);
    update_quota(job.team);
    router_.record_start(worker, job.kind);
    if (observer_ != nullptr) {
        observer_->task_started(job.number, task_number, worker);
    }
    const start_request request{task_id(job, attempt), kind.name,
                                job.payloads_or_answers[task_number], job.accepted_settings->lease,
                                std::max(job.deadline - time, duration::zero())};
    // The capture fits into the small-object buffer of std::function, so no memory is allocated.
    const std::uint32_t generation = attempt.generation;
    workers_.start(worker, request, [this, attempt_index, generation](start_reply reply) {
        on_reply(attempt_index, generation, std::move(reply));
    });
}

// True if a queued task would start too late to finish within its deadline. False for a task that
// starts at the time of receipt.
bool dispatcher::engine::would_miss_deadline(const job_record& job, monotonic_time time)
{
    if (time == job.received) {
        return false;
    }
    const duration time_left = job.deadline - time;
    const kind_state& state = refreshed_state(job.kind, time);
    const duration margin = state.samples < min_samples
                                ? duration::zero()
                                : std::min(state.p99, (job.deadline - job.received) / 2);
    return time_left <= duration::zero() || time_left < margin;
}

const dispatcher::engine::kind_state& dispatcher::engine::refreshed_state(kind_index kind,
                                                                          monotonic_time time)
{
    kind_state& state = kinds_[kind];
    // Quantiles change slowly and are needed for each task, so they are cached.
    if (state.median == duration::zero() || time - state.refreshed >= quantile_refresh_interval) {
        state.refreshed = time;
        state.median = router_.run_time_quantile(kind, 0.5);
        state.p99 = router_.run_time_quantile(kind, 0.99);
        state.hedge_after = router_.run_time_quantile(kind, hedges_.quantile());
    }
    return state;
}

void dispatcher::engine::on_reply(std::uint32_t attempt_index, std::uint32_t generation,
                                  start_reply reply)
{
    ++counts_.replies;
    if (!attempts_[attempt_index].is_open || attempts_[attempt_index].generation != generation) {
        ++counts_.late_replies;
        return;
    }
    attempt_record& attempt = attempts_[attempt_index];
    const std::uint32_t job_index = attempt.job;
    const std::uint32_t task = attempt.task;
    const monotonic_time lease_end = attempt.lease_end;
    const bool is_hedge =
        attempt.start_number > 1 && jobs_[job_index].tasks[task].attempts[1] == attempt_index;
    release_slot(attempt, reply);
    close_attempt(attempt_index, reply.status);
    if (reply.status == start_status::completed) {
        counts_.hedges_won += is_hedge ? 1 : 0;
        complete_task(job_index, task, std::move(reply.payload));
    }
    else {
        attempt_failed(job_index, task, reply, lease_end);
    }
    finish_if_done(job_index);
    dispatch_queued();
    deliver();
}

void dispatcher::engine::complete_task(std::uint32_t job_index, std::uint32_t task_number,
                                       std::string answer)
{
    job_record& job = jobs_[job_index];
    task_record& task = job.tasks[task_number];
    task.state = task_phase::completed;
    ++job.completed;
    ++kinds_[job.kind].samples;
    job.payloads_or_answers[task_number] = std::move(answer);
    for (const std::uint32_t other : task.attempts) {
        if (other != no_index) {
            abandon_attempt(other, start_status::stopped);
        }
    }
}

// Retries or ends a task after an attempt that did not complete it.
void dispatcher::engine::attempt_failed(std::uint32_t job_index, std::uint32_t task_number,
                                        const start_reply& reply, monotonic_time lease_end)
{
    job_record& job = jobs_[job_index];
    task_record& task = job.tasks[task_number];
    const request_kind& kind = job.accepted_settings->kinds[job.kind];
    bool may_retry = false;
    switch (reply.status) {
    case start_status::refused_busy:
    case start_status::refused_leaving:
    case start_status::not_sent:
        may_retry = !task.has_run;
        break;
    case start_status::task_failed:
    case start_status::lease_lapsed:
    case start_status::stopped:
        task.has_run = true;
        break;
    case start_status::completed:
    case start_status::reply_lost:
    default: // an unknown status does not prove whether the task ran
        task.is_unknown = true;
        may_retry = kind.second_start && !task.has_run &&
                    hedges_.can_afford(hedge_policy::messages_per_retry);
        break;
    }
    if (task.is_open()) {
        return; // the other attempt may still complete
    }
    const monotonic_time time = now();
    if (may_retry && !job.is_failing && task.starts < max_starts_per_task && time < lease_end &&
        time < job.deadline) {
        retry_later(job_index, task_number);
        return;
    }
    task.state = task_phase::ended;
    if (!job.is_failing) {
        const std::string_view what = task.is_unknown ? "no reply from the worker"
                                      : task.has_run  ? "the task failed"
                                                      : "no worker took the task";
        fail_job(job_index, reply.payload.empty() ? std::string{what}
                                                  : fmt::format("{}: {}", what, reply.payload));
    }
}

// Stops an attempt and closes it without a reply; a later reply is ignored.
void dispatcher::engine::abandon_attempt(std::uint32_t attempt_index, start_status status)
{
    send_stop(attempts_[attempt_index]);
    close_attempt(attempt_index, status);
}

// Sends a stop and releases the worker's slot at once. If the worker has not stopped the task yet,
// it refuses the next one as busy, and that one has certainly not run.
void dispatcher::engine::send_stop(attempt_record& attempt)
{
    if (!attempt.stop_sent) {
        attempt.stop_sent = true;
        ++counts_.stops;
        hedges_.record_extra_messages(1.0);
        workers_.stop(attempt.worker, task_id(jobs_[attempt.job], attempt));
    }
    start_reply reply;
    reply.status = start_status::stopped;
    release_slot(attempt, reply);
}

void dispatcher::engine::release_slot(attempt_record& attempt, const start_reply& reply)
{
    if (!attempt.holds_slot) {
        return;
    }
    attempt.holds_slot = false;
    const job_record& job = jobs_[attempt.job];
    router_.record_end(attempt.worker, job.kind, reply, now() - attempt.started);
    quotas_.record_end(job.team);
    update_quota(job.team);
}

// Frees the record of an attempt and changes its generation, so that a late reply is recognised.
void dispatcher::engine::close_attempt(std::uint32_t attempt_index, start_status status)
{
    attempt_record& attempt = attempts_[attempt_index];
    assert(attempt.is_open && !attempt.holds_slot);
    job_record& job = jobs_[attempt.job];
    task_record& task = job.tasks[attempt.task];
    for (std::uint32_t& it : task.attempts) {
        if (it == attempt_index) {
            it = no_index;
        }
    }
    if (!task.is_open()) {
        --job.open_tasks;
    }
    if (observer_ != nullptr) {
        observer_->task_ended(job.number, attempt.task, attempt.worker, status);
    }
    wheel_.cancel(attempt.timer);
    attempt.is_open = false;
    ++attempt.generation;
    free_attempts_.push_back(attempt_index);
}

// Marks a job as failed. Queued tasks are dropped at once, but the ends of running tasks are
// awaited so that the answer states correctly what ran.
void dispatcher::engine::fail_job(std::uint32_t job_index, std::string_view reason)
{
    job_record& job = jobs_[job_index];
    if (job.is_failing) {
        return;
    }
    job.is_failing = true;
    job.reason = reason;
    counts_.tasks_shed += queues_[job.queue].remove(job_index);
    for (task_record& task : job.tasks) {
        wheel_.cancel(task.retry_timer);
    }
    finish_if_done(job_index);
}

void dispatcher::engine::finish_if_done(std::uint32_t job_index)
{
    const job_record& job = jobs_[job_index];
    if (job.number != 0 && !job.is_finished() &&
        (job.completed == job.size || (job.is_failing && job.open_tasks == 0))) {
        finish(job_index);
    }
}

} // namespace cactusloom
