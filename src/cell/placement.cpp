#include "placement.h"

#include <algorithm>
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
    double factor = times_.kind_factor(worker.report.kind) * worker.slowness;
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

bool placement::can_meet_objective(const active_job& job, monotonic_time now) const
{
    return now + longest_remaining_run_time(job) + answer_margin <= job.due;
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
    if (can_meet_objective(job, now)) {
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

void placement::sort(std::vector<active_job*>& jobs, monotonic_time now) const
{
    struct key {
        urgency when = urgency::in_time;
        int priority = 0;
        double to_start = 0; // matters among late jobs only
        monotonic_time limit;
        active_job* job = nullptr;
    };
    std::vector<key> keys;
    keys.reserve(jobs.size());
    for (auto* it : jobs) {
        const auto when = urgency_of(*it, now);
        keys.push_back({when, it->request.terms.priority,
                        when == urgency::late ? unstarted_share(*it) : 0.0,
                        when == urgency::too_late ? it->deadline : it->due, it});
    }
    std::ranges::sort(keys, {}, [](const key& it) {
        return std::tuple(it.when, it.priority, it.to_start, it.limit);
    });
    std::ranges::transform(keys, jobs.begin(), &key::job);
}

claimed_worker* placement::choose(const active_job& job, std::size_t step, const task_state& task,
                                  std::span<claimed_worker* const> available,
                                  monotonic_time now) const
{
    const auto& wanted = job.request.steps[step];
    const bool late = !can_meet_objective(job, now);
    const auto limit = (late ? job.deadline : job.due) - answer_margin;
    claimed_worker* best = nullptr;
    duration best_time{};
    bool best_meets = false;
    std::int64_t best_left = 0;
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
        const bool meets = now + scaled(time, safe_ratio) <= limit;
        const auto left =
            it->report.capacity.cpu_millis - it->used.cpu_millis - wanted.demand.cpu_millis;
        const auto a = static_cast<double>(time.count());
        const auto b = static_cast<double>(best_time.count());
        bool better = false;
        if (best == nullptr || meets != best_meets) {
            better = best == nullptr || meets;
        }
        else if (a > b * same_speed_ratio) {
            better = meets && !late;
        }
        else if (b > a * same_speed_ratio) {
            better = !meets || late;
        }
        else {
            better = left < best_left;
        }
        if (better) {
            best = it;
            best_time = time;
            best_meets = meets;
            best_left = left;
        }
    }
    if (best != nullptr && !best_meets &&
        best_time > scaled(min_run_time(job, wanted), same_speed_ratio) &&
        now + scaled(min_run_time(job, wanted), safe_ratio) <= limit) {
        return nullptr;
    }
    return best;
}

double placement::work_before(std::span<active_job* const> jobs, const active_job& job) const
{
    const auto rank = [](const active_job& it) {
        return std::pair(it.request.terms.priority, it.due);
    };
    double sum = 0;
    for (const auto* it : jobs) {
        if (it->ended || rank(*it) > rank(job)) {
            continue;
        }
        for (std::size_t i = 0; i < it->steps.size(); ++i) {
            const auto& step = it->request.steps[i];
            const auto pending =
                std::ranges::count(it->steps[i], task_state::phase::pending, &task_state::at);
            sum += static_cast<double>(pending * step.demand.cpu_millis) / 1000.0 *
                   static_cast<double>(times_.work(it->request.terms.queue, step.estimate).count());
        }
    }
    return sum;
}

} // namespace cactusloom
