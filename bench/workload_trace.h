#pragma once

#include "base/random.h"
#include "config/deployment.h"

#include <algorithm>
#include <array>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace cactusloom::bench {

enum class fault { none, straggler, failing_worker, lost_rack, burst, cancellation, declared };

// A scenario of the benchmark. Times are in seconds.
struct scenario {
    std::string name;
    bool jobs = false; // a mix of single requests and jobs, else single requests only
    std::uint32_t instances = 9;
    double load = 0.8; // fraction of the capacity, that is, slots x speed
    double lag = 0;    // age of the load report in a reply
    fault kind = fault::none;
    double warm_up = 60;
    double length = 180; // measured, after the warm-up
    std::uint32_t seed = 1;
    std::uint32_t workers = 50;
};

constexpr std::uint32_t slots_per_worker = 8;
constexpr std::uint32_t workers_per_rack = 8;

struct trace_request {
    double at = 0;
    std::uint32_t instance = 0;
    std::uint32_t kind = 0;
    std::uint32_t first_task = 0;
    std::uint32_t tasks = 1;
    bool cancelled = false; // at the time of the fault, if not answered by then
};

// Input of a run, the same for all strategies and the ideal scheduler.
struct workload_trace {
    std::vector<trace_request> requests;
    std::vector<double> work;  // by task: seconds at speed 1
    std::vector<double> speed; // by worker
    std::vector<double> share; // by instance
    double fault_at = 0;
};

// Draws run times of three kinds with medians of 120, 300 and 500 ms. One in fifty tasks of the
// third kind takes eight times as long, which yields a few tasks of several seconds.
class work_source {
public:
    explicit work_source(random_engine& random) : random_(&random) {}

    double draw(std::uint32_t kind)
    {
        constexpr std::array<double, 3> medians{0.12, 0.3, 0.5};
        boost::random::lognormal_distribution<double> spread(std::log(medians.at(kind)), 0.5);
        const double work = spread(*random_);
        const bool is_long = kind == 2 && uniform_(*random_) < 0.02;
        return std::clamp(is_long ? work * 8 : work, 0.02, 8.0);
    }

private:
    random_engine* random_;
    boost::random::uniform_01<double> uniform_;
};

inline workload_trace make_trace(const scenario& settings)
{
    random_engine random(settings.seed * 7919U + 4096U);
    boost::random::uniform_01<double> uniform;
    workload_trace made;
    made.fault_at = settings.warm_up + 10;
    double capacity = 0;
    for (std::uint32_t i = 0; i < settings.workers; ++i) {
        // Speeds are uniform from 1 to 4, divided by the mean.
        made.speed.push_back((1 + 3 * uniform(random)) / 2.5);
        capacity += made.speed.back() * slots_per_worker;
    }
    constexpr std::array<double, 9> sizes{1, 1, 1, 2, 2, 2, 3, 3, 4};
    double all = 0;
    for (std::uint32_t i = 0; i < settings.instances; ++i) {
        made.share.push_back(settings.instances == 1 ? 1 : sizes.at(i % sizes.size()));
        all += made.share.back();
    }
    for (double& share : made.share) {
        share /= all;
    }
    boost::random::discrete_distribution<std::uint32_t> choose_instance(made.share.begin(),
                                                                        made.share.end());
    const std::array<double, 3> kind_weights{0.5, 0.3, 0.2};
    boost::random::discrete_distribution<std::uint32_t> choose_kind(kind_weights.begin(),
                                                                    kind_weights.end());
    // In the jobs workload about a seventh of the tasks are single requests.
    const std::array<double, 4> size_weights{0.9, 0.07, 0.027, 0.003};
    constexpr std::array<std::uint32_t, 4> job_sizes{1, 10, 100, 700};
    boost::random::discrete_distribution<std::size_t> choose_size(size_weights.begin(),
                                                                  size_weights.end());
    work_source source(random);
    double mean_work = 0;
    constexpr int draws = 100000;
    for (int i = 0; i < draws; ++i) {
        mean_work += source.draw(choose_kind(random)) / draws;
    }
    const double mean_tasks = settings.jobs ? 0.9 + 0.7 + 2.7 + 2.1 : 1;
    const double rate = settings.load * capacity / mean_work / mean_tasks;
    const double end = settings.warm_up + settings.length;
    for (double at = 0;;) {
        // A burst of ten times the rate lasts one second and repeats every thirty.
        const double phase = std::fmod(at, 30.0);
        const bool in_burst = settings.kind == fault::burst && phase >= 10 && phase < 11;
        at += boost::random::exponential_distribution<double>(in_burst ? rate * 10 : rate)(random);
        if (at >= end) {
            break;
        }
        trace_request request;
        request.at = at;
        request.instance = choose_instance(random);
        request.kind = choose_kind(random);
        request.first_task = static_cast<std::uint32_t>(made.work.size());
        request.tasks = settings.jobs ? job_sizes.at(choose_size(random)) : 1;
        request.cancelled =
            settings.kind == fault::cancellation && at < made.fault_at && uniform(random) < 0.5;
        for (std::uint32_t i = 0; i < request.tasks; ++i) {
            made.work.push_back(source.draw(request.kind));
        }
        made.requests.push_back(request);
    }
    return made;
}

inline deployment make_deployment(const scenario& settings, const std::string& strategy,
                                  double message_budget)
{
    deployment made;
    made.profile.routing = strategy;
    made.profile.message_budget = message_budget;
    // For the fault `declared`, run times are wrong by a factor of ten in both directions.
    const bool wrong = settings.kind == fault::declared;
    const std::array<double, 3> declared{wrong ? 1.2 : 0.12, wrong ? 0.03 : 0.3, wrong ? 5 : 0.5};
    for (std::size_t i = 0; i < declared.size(); ++i) {
        request_kind kind;
        kind.name = "kind_" + std::to_string(i);
        kind.declared_run_time = duration{static_cast<std::int64_t>(declared.at(i) * 1e6)};
        made.kinds.push_back(kind);
    }
    for (std::uint32_t i = 0; i < settings.workers; ++i) {
        worker_settings worker;
        worker.name = "worker_" + std::to_string(i);
        worker.rack = "rack_" + std::to_string(i / workers_per_rack);
        worker.slots = slots_per_worker;
        made.workers.push_back(worker);
    }
    return made;
}

// Results of a run.
struct outcome {
    std::vector<double> responses; // seconds, of measured requests that were completed
    double messages = 0;           // sent in the measured time
    double tasks = 0;
    double refused = 0;
    double failed = 0;            // measured requests that failed
    double late_fault_hits = 0;   // starts that failed more than 1 s after the fault
    double tasks_after_fault = 0; // tasks that ended more than 1 s after the fault
    double picks = 0;
};

} // namespace cactusloom::bench
