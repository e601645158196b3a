#pragma once

#include "cell_fixture.h"

#include <random>
#include <vector>

namespace cactusloom {

// One kind of job of a played load.
struct load_kind {
    const char* queue;
    int priority = 0;
    double jobs_per_second = 0;
    std::uint32_t tasks = 1;
    duration work{}; // median run time of a task at speed 1
};

// What the callers of one kind of job got.
struct load_result {
    int submitted = 0;
    int in_time = 0;
    int late = 0;
    int not_run = 0;
    int unanswered = 0; // ended without a known outcome
    int refused_before_objective = 0;
    std::vector<duration> retry_after; // of the refusals
    double work_in_time = 0;           // task seconds at speed 1 of the jobs answered in time

    double share_in_time() const { return submitted == 0 ? 1 : 1.0 * in_time / submitted; }

    load_result& operator+=(const load_result& other)
    {
        submitted += other.submitted;
        in_time += other.in_time;
        late += other.late;
        not_run += other.not_run;
        unanswered += other.unanswered;
        refused_before_objective += other.refused_before_objective;
        retry_after.insert(retry_after.end(), other.retry_after.begin(), other.retry_after.end());
        work_in_time += other.work_in_time;
        return *this;
    }
};

// Plays a load of jobs on a cell of fast and slow workers in virtual time. Arrivals are a Poisson
// process; run times vary by 0.4 and the callers' estimates by another 0.4, as standard deviations
// of the logarithm. The objective is 1.6 times the actual run time plus 60 ms, as callers see it.
class load_player {
public:
    load_player(int fast_workers, int slow_workers, const scheduling_policies& policies,
                std::uint32_t seed = 1)
        : random_(seed)
    {
        fixture_.fleet.work = [this](const std::string& name) {
            task_ref task;
            parse_task_name(name, task);
            return jobs_.at(task.job).work;
        };
        for (int i = 0; i < fast_workers; ++i) {
            fixture_.fleet.add(fmt::format("fast{}", i), worker_size, "fast", 1 / fast_factor);
        }
        for (int i = 0; i < slow_workers; ++i) {
            fixture_.fleet.add(fmt::format("slow{}", i), worker_size, "slow", 1 / slow_factor);
        }
        cell_settings settings;
        settings.policies = policies;
        fixture_.controller =
            std::make_unique<cell_controller>(fixture_.timers, fixture_.fleet, settings);
        fixture_.controller->set_workers(fixture_.fleet.reports());
        fixture_.controller->claim(1);
        fixture_.timers.advance(std::chrono::milliseconds{20});
        fixture_.controller->set_worker_list_time(fixture_.timers.monotonic_now());
        capacity_ = fast_workers * tasks_a_worker / fast_factor +
                    slow_workers * tasks_a_worker / slow_factor;
    }

    // Task seconds at speed 1 that the workers do in a second.
    double capacity() const { return capacity_; }

    // Plays the kinds for a time. Jobs are counted from the first call of count_from_now().
    void play(std::span<const load_kind> kinds, duration length)
    {
        const auto end = fixture_.timers.monotonic_now() + length;
        double total = 0;
        for (const auto& it : kinds) {
            total += it.jobs_per_second;
        }
        std::exponential_distribution<double> gap(total);
        for (;;) {
            const auto wait = duration{static_cast<duration::rep>(gap(random_) * 1e6)};
            if (fixture_.timers.monotonic_now() + wait > end) {
                fixture_.timers.advance(end - fixture_.timers.monotonic_now());
                return;
            }
            fixture_.timers.advance(wait);
            double pick = std::uniform_real_distribution<double>(0, total)(random_);
            const auto* kind = &kinds.back();
            for (const auto& it : kinds) {
                pick -= it.jobs_per_second;
                if (pick < 0) {
                    kind = &it;
                    break;
                }
            }
            submit(*kind);
        }
    }

    void finish() { fixture_.timers.advance(std::chrono::seconds{20}); }

    // Forgets the jobs so far, for example those of the time in which speeds are learned.
    void count_from_now()
    {
        results_.clear();
        counted_from_ = fixture_.timers.monotonic_now();
    }

    const load_result& result(const std::string& queue) { return results_[queue]; }

    cell_fixture& cell() { return fixture_; }

private:
    static constexpr task_demand worker_size = {4000, 4000, 0};
    static constexpr int tasks_a_worker = 4;
    static constexpr double fast_factor = 0.7;
    static constexpr double slow_factor = 1.7;

    struct played_job {
        duration work{};
        monotonic_time submitted_at;
    };

    duration spread(duration median)
    {
        std::lognormal_distribution<double> factor(0, 0.4);
        return duration{
            static_cast<duration::rep>(static_cast<double>(median.count()) * factor(random_))};
    }

    void submit(const load_kind& kind)
    {
        using namespace std::chrono_literals;
        const auto id = fmt::format("j{}", ++last_job_);
        const auto now = fixture_.timers.monotonic_now();
        const auto work = spread(kind.work);
        jobs_[id] = {work, now};
        auto request = cell_fixture::job(id, kind.tasks, spread(work));
        request.terms.queue = kind.queue;
        request.terms.priority = kind.priority;
        request.time_left = 6s;
        const bool counted = now >= counted_from_;
        if (counted) {
            ++results_[kind.queue].submitted;
        }
        fixture_.controller->submit(
            std::move(request), {{"requester"}},
            [this, id, queue = std::string(kind.queue), tasks = kind.tasks](const job_outcome& it) {
                on_end(jobs_.at(id), queue, tasks, it);
            });
    }

    void on_end(const played_job& job, const std::string& queue, std::uint32_t tasks,
                const job_outcome& outcome)
    {
        using namespace std::chrono_literals;
        if (job.submitted_at < counted_from_) {
            return;
        }
        const auto age = fixture_.timers.monotonic_now() - job.submitted_at;
        const auto objective = job.work * 8 / 5 + 60ms;
        auto& result = results_[queue];
        switch (outcome.end) {
        case job_end::not_run:
            ++result.not_run;
            result.retry_after.push_back(outcome.retry_after);
            result.refused_before_objective += age <= objective ? 1 : 0;
            break;
        case job_end::completed:
            ++(age <= objective ? result.in_time : result.late);
            if (age <= objective) {
                result.work_in_time += std::chrono::duration<double>(job.work).count() * tasks;
            }
            break;
        default:
            ++result.unanswered;
            break;
        }
    }

    cell_fixture fixture_;
    std::mt19937 random_;
    std::map<std::string, played_job> jobs_;
    std::map<std::string, load_result> results_;
    monotonic_time counted_from_;
    double capacity_ = 0;
    int last_job_ = 0;
};

} // namespace cactusloom
