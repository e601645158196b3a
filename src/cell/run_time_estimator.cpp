#include "cell/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {

namespace {

// Number of samples after which older ones lose weight; a queue completes some tens of tasks a
// second.
constexpr double max_queue_weight = 200;
constexpr double max_kind_weight = 400;
// With fewer samples the mean is less accurate than the caller's estimate.
constexpr double trusted_weight = 5;
// The caller's estimate and the queue's mean have about the same spread, so both count the same.
constexpr double estimate_share = 0.5;

} // namespace

void run_time_estimator::log_mean::add(double sample, double max_weight)
{
    weight = std::min(weight + 1, max_weight);
    value += (sample - value) / weight;
}

duration run_time_estimator::work(std::string_view queue, duration estimate) const
{
    const auto it = queues_.find(std::string(queue));
    if (it == queues_.end() || it->second.weight < trusted_weight) {
        return estimate;
    }
    const double estimate_log =
        std::log(std::max<double>(1, static_cast<double>(estimate.count())));
    const double combined_log =
        estimate_share * estimate_log + (1 - estimate_share) * it->second.value;
    return duration{static_cast<duration::rep>(std::exp(combined_log))};
}

double run_time_estimator::kind_factor(std::string_view kind) const
{
    const auto it = kinds_.find(std::string(kind));
    return it == kinds_.end() || it->second.weight < trusted_weight ? 1.0
                                                                    : std::exp(it->second.value);
}

double run_time_estimator::fastest_factor() const
{
    double fastest = 0;
    for (const auto& [kind, mean] : kinds_) {
        if (mean.weight >= trusted_weight) {
            const double factor = std::exp(mean.value);
            fastest = fastest == 0 ? factor : std::min(fastest, factor);
        }
    }
    return fastest == 0 ? 1.0 : fastest;
}

void run_time_estimator::learn(std::string_view queue, std::string_view kind, duration estimate,
                               duration actual)
{
    if (estimate.count() <= 0 || actual.count() <= 0) {
        return;
    }
    // Callers' estimates are unbiased over many tasks, so the ratio of actual to estimated run time
    // averages to the factor of the kind.
    const double actual_log = std::log(static_cast<double>(actual.count()));
    const double ratio = actual_log - std::log(static_cast<double>(estimate.count()));
    auto& kind_mean = kinds_[std::string(kind)];
    kind_mean.add(std::clamp(ratio, -3.0, 3.0), max_kind_weight);
    queues_[std::string(queue)].add(actual_log - kind_mean.value, max_queue_weight);
}

} // namespace cactusloom
