#include "placement.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace cactusloom {

namespace {

// Time from the end of a task to the caller's answer: two network hops and a poll.
constexpr duration answer_margin = std::chrono::milliseconds{8};
// Two predicted run times within this ratio count as equal, so that the tightest fit decides.
constexpr double same_speed_ratio = 1.1;
// Predictions have a standard deviation of about 0.3 on a log scale; nine of ten tasks take at most
// 1.5 times the prediction.
constexpr double safe_ratio = 1.5;
constexpr double optimistic_ratio = 0.6;
// A late answer is worth a fifth of one in time, and nothing beyond three times the objective.
constexpr double late_value = 0.2;
constexpr double useful_ratio = 3.0;
constexpr duration longest_wait = std::chrono::seconds{10};
constexpr double safe_chance = 0.9;
// A job with a lower chance takes workers from jobs that use them better.
constexpr double in_time_chance = 0.8;
// Time until the next task of a busy cell ends.
constexpr duration min_wait = std::chrono::milliseconds{5};

duration scaled(duration time, double ratio)
{
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * ratio)};
}

} // namespace

duration placement::min_run_time(const active_job& job, const job_step& step) const
{
    const auto work = times_.work(job.request.terms.queue, step.estimate);
    return scaled(work, times_.fastest_factor());
}

duration placement::predict(const active_job& job, const job_step& step,
                            const claimed_worker& worker) const
{
    const auto work = times_.work(job.request.terms.queue, step.estimate);
    double factor = run_time_factor(worker);
    if (!step.data_rack.empty() && !worker.has_label(step.data_rack)) {
        factor *= remote_penalty_;
    }
    return scaled(work, factor);
}

duration placement::longest_remaining_run_time(const active_job& job) const
{
    duration longest{};
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        if (job.done_of_step[i] < job.request.steps[i].count) {
            longest = std::max(longest, min_run_time(job, job.request.steps[i]));
        }
    }
    return longest;
}

duration placement::longest_run_time(const active_job& job) const
{
    duration longest{};
    for (const auto& step : job.request.steps) {
        longest = std::max(longest, min_run_time(job, step));
    }
    return longest;
}

bool placement::can_meet_objective(const active_job& job, monotonic_time now) const
{
    const auto run_time = longest_remaining_run_time(job);
    return policies_.scaled_objective ? chance(job, run_time, now) >= in_time_chance
                                      : now + run_time + answer_margin <= job.due;
}

duration placement::optimistic_run_time(duration predicted)
{
    return scaled(predicted, optimistic_ratio);
}

monotonic_time placement::useful_until(const active_job& job)
{
    return job.arrived + scaled(job.due - job.arrived, useful_ratio);
}

placement::urgency placement::urgency_of(const active_job& job, monotonic_time now) const
{
    if (!policies_.order_by_urgency || can_meet_objective(job, now)) {
        return urgency::in_time;
    }
    if (now + longest_remaining_run_time(job) + answer_margin > useful_until(job)) {
        return urgency::too_late;
    }
    return unstarted_share(job) <= late_value ? urgency::in_time : urgency::late;
}

double placement::unstarted_share(const active_job& job)
{
    double total = 0;
    double pending = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.request.steps[i];
        const auto work = static_cast<double>(step.estimate.count()) *
                          static_cast<double>(std::max<std::int64_t>(step.demand.cpu_millis, 1));
        total += work * step.count;
        pending += work * static_cast<double>(std::ranges::count(
                              job.steps[i], task_state::phase::pending, &task_state::at));
    }
    return total > 0 ? pending / total : 1.0;
}

// Probability that a job is answered within `ratio` times its objective if the tasks that are left
// start at `start` and take `run_time`, as predicted. The objective is a multiple of the actual run
// time, so an error of the prediction changes both alike.
double placement::chance(const active_job& job, duration run_time, monotonic_time start,
                         double ratio) const
{
    if (!policies_.scaled_objective) {
        return times_.chance(run_time, job.arrived + scaled(job.due - job.arrived, ratio) -
                                           answer_margin - start);
    }
    const auto& terms = job.request.terms;
    const auto growth = scaled(job.chain, ratio * terms.stretch) - run_time;
    const auto delay = start - job.arrived + answer_margin - scaled(terms.target_latency, ratio);
    if (delay <= duration::zero()) {
        return growth >= duration::zero() ? 1.0 : times_.chance(-growth, -delay);
    }
    return growth <= duration::zero() ? 0.0 : 1.0 - times_.chance(growth, delay);
}

// Value of an answer, as a share of its full value, if the tasks that are left start at `start`.
double placement::expected_value(const active_job& job, monotonic_time start) const
{
    const auto run_time = longest_remaining_run_time(job);
    const auto in_time = chance(job, run_time, start);
    const auto of_use = chance(job, run_time, start, useful_ratio);
    return in_time + late_value * (of_use - in_time);
}

// Expected loss of value if the job waits, for the share of its work that is not started.
double placement::loss_by_waiting(const active_job& job, monotonic_time now, duration wait) const
{
    constexpr double min_share = 0.01;
    return (expected_value(job, now) - expected_value(job, now + wait)) /
           std::max(unstarted_share(job), min_share);
}

duration placement::predict_wait(double work, double cores, monotonic_time now) const
{
    const double spare = policies_.inflow_wait ? cores - demand_.rate(now) : cores;
    return spare * static_cast<double>(longest_wait.count()) > work
               ? duration{static_cast<duration::rep>(work / spare)}
               : longest_wait;
}

void placement::sort(std::vector<active_job*>& jobs, monotonic_time now, double cores) const
{
    struct key {
        urgency when = urgency::in_time;
        int priority = 0;
        double to_start = 0; // matters among late jobs only
        double loss = 0;     // by waiting
        monotonic_time limit;
        active_job* job = nullptr;
    };
    std::vector<key> keys;
    keys.reserve(jobs.size());
    const bool by_loss = policies_.order_by_loss && cores > 0;
    std::map<int, double> waiting_work; // by priority
    if (by_loss) {
        for (const auto* it : jobs) {
            waiting_work[it->request.terms.priority] += pending_work(*it);
        }
    }
    const auto wait_of = [&](int priority) {
        double sum = 0;
        for (auto it = waiting_work.begin(); it != waiting_work.upper_bound(priority); ++it) {
            sum += it->second;
        }
        return std::max(min_wait, duration{static_cast<duration::rep>(sum / cores)});
    };
    for (auto* it : jobs) {
        const auto when = urgency_of(*it, now);
        keys.push_back({when, it->request.terms.priority,
                        when == urgency::late ? unstarted_share(*it) : 0.0,
                        by_loss && when == urgency::in_time
                            ? loss_by_waiting(*it, now, wait_of(it->request.terms.priority))
                            : 0.0,
                        when == urgency::too_late ? it->deadline : it->due, it});
    }
    std::ranges::sort(keys, {}, [](const key& it) {
        return std::tuple(it.when, it.priority, it.to_start, -it.loss, it.limit);
    });
    std::ranges::transform(keys, jobs.begin(), &key::job);
}

claimed_worker* placement::choose(const active_job& job, std::size_t step, const task_state& task,
                                  std::span<claimed_worker* const> available, monotonic_time now,
                                  duration fast_wait) const
{
    const auto& wanted = job.request.steps[step];
    const bool late = !can_meet_objective(job, now);
    const auto limit = (late ? job.deadline : job.due) - answer_margin;
    claimed_worker* best = nullptr;
    duration best_time{};
    bool best_meets = false;
    std::int64_t best_left = 0;
    // Alone on a worker, a task takes no other one down, and a second loss shows that it is the
    // cause.
    const bool isolate = task.losses != 0;
    for (auto* it : available) {
        if (!it->has_capacity(wanted.demand) || it->report.service != job.request.terms.service ||
            (it->report.id == task.avoid_worker && available.size() > 1) ||
            (!wanted.required_label.empty() && !it->has_label(wanted.required_label))) {
            continue;
        }
        if (wanted.max_per_worker != 0) {
            const auto n = std::ranges::count_if(it->runs, [&](const auto& row) {
                return row.second.job == &job && row.second.task.step == step;
            });
            if (static_cast<std::uint32_t>(n) >= wanted.max_per_worker) {
                continue;
            }
        }
        const auto time = predict(job, wanted, *it);
        const bool meets = policies_.scaled_objective && !late
                               ? chance(job, time, now) >= safe_chance
                               : now + scaled(time, safe_ratio) <= limit;
        const auto left =
            it->report.capacity.cpu_millis - it->used.cpu_millis - wanted.demand.cpu_millis;
        const auto a = static_cast<double>(time.count());
        const auto b = static_cast<double>(best_time.count());
        bool better = false;
        if (best != nullptr && isolate && it->runs.empty() != best->runs.empty()) {
            better = it->runs.empty();
        }
        else if (best == nullptr || meets != best_meets) {
            better = best == nullptr || meets;
        }
        else if (a > b * same_speed_ratio) {
            better = meets && !late && policies_.slow_workers_first;
        }
        else if (b > a * same_speed_ratio) {
            better = !meets || late || !policies_.slow_workers_first;
        }
        else {
            better = policies_.tightest_fit && left < best_left;
        }
        if (better) {
            best = it;
            best_time = time;
            best_meets = meets;
            best_left = left;
        }
    }
    if (best != nullptr && !best_meets &&
        may_wait_for_faster(job, best_time, min_run_time(job, wanted), now, fast_wait)) {
        return nullptr;
    }
    return best;
}

// True if a task that takes `slow` on the best worker left had better wait for one on which it
// takes `fast`.
bool placement::may_wait_for_faster(const active_job& job, duration slow, duration fast,
                                    monotonic_time now, duration fast_wait) const
{
    if (!policies_.wait_for_faster || slow <= scaled(fast, same_speed_ratio)) {
        return false;
    }
    if (!policies_.bounded_wait) {
        const bool late = !can_meet_objective(job, now);
        return now + scaled(fast, safe_ratio) <= (late ? job.deadline : job.due) - answer_margin;
    }
    return chance(job, fast, now + fast_wait) > chance(job, slow, now);
}

std::size_t placement::tasks_without_worker(const active_job& job,
                                            std::span<claimed_worker* const> available,
                                            monotonic_time now) const
{
    std::size_t missing = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.request.steps[i];
        if (!job.step_is_ready(i)) {
            continue;
        }
        auto pending =
            std::ranges::count(job.steps[i], task_state::phase::pending, &task_state::at);
        for (auto it = available.begin(); it != available.end() && pending > 0; ++it) {
            const auto idle = (*it)->report.capacity.cpu_millis - (*it)->used.cpu_millis;
            if ((*it)->has_capacity(step.demand) &&
                chance(job, predict(job, step, **it), now) >= min_value_to_start) {
                pending -= idle / std::max<std::int64_t>(step.demand.cpu_millis, 1);
            }
        }
        missing += static_cast<std::size_t>(std::max<std::ptrdiff_t>(pending, 0));
    }
    return missing;
}

double placement::pending_work(const active_job& job) const
{
    double sum = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.request.steps[i];
        const auto pending =
            std::ranges::count(job.steps[i], task_state::phase::pending, &task_state::at);
        sum += static_cast<double>(pending * step.demand.cpu_millis) / 1000.0 *
               static_cast<double>(times_.work(job.request.terms.queue, step.estimate).count());
    }
    return sum;
}

double placement::work_before(std::span<active_job* const> jobs, const active_job& job) const
{
    const auto rank = [](const active_job& it) {
        return std::pair(it.request.terms.priority, it.due);
    };
    double sum = 0;
    for (const auto* it : jobs) {
        if (!it->ended && rank(*it) <= rank(job)) {
            sum += pending_work(*it);
        }
    }
    return sum;
}

} // namespace cactusloom
