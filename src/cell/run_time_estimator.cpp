#include "cell/run_time_estimator.h"

#include <algorithm>
#include <cmath>
#include <numbers>

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
constexpr double initial_spread = 0.3;
constexpr double min_spread = 0.1;
constexpr double max_spread = 1.0;
constexpr double max_spread_weight = 400;

} // namespace

void run_time_estimator::log_mean::add(double sample, double max_weight)
{
    weight = std::min(weight + 1, max_weight);
    value += (sample - value) / weight;
}

duration run_time_estimator::work(std::string_view queue, duration estimate) const
{
    const auto it = queues_.find(std::string(queue));
    if (!policies_.run_time_learning || it == queues_.end() || it->second.weight < trusted_weight) {
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
    return !policies_.kind_factors || it == kinds_.end() || it->second.weight < trusted_weight
               ? 1.0
               : std::exp(it->second.value);
}

double run_time_estimator::fastest_factor() const
{
    double fastest = 0;
    if (!policies_.kind_factors) {
        return 1.0;
    }
    for (const auto& [kind, mean] : kinds_) {
        if (mean.weight >= trusted_weight) {
            const double factor = std::exp(mean.value);
            fastest = fastest == 0 ? factor : std::min(fastest, factor);
        }
    }
    return fastest == 0 ? 1.0 : fastest;
}

double run_time_estimator::spread() const
{
    return squared_error_.weight < trusted_weight
               ? initial_spread
               : std::clamp(std::sqrt(squared_error_.value), min_spread, max_spread);
}

double run_time_estimator::chance(duration predicted, duration time) const
{
    if (time.count() <= 0) {
        return 0;
    }
    if (predicted.count() <= 0) {
        return 1;
    }
    const double ratio = static_cast<double>(time.count()) / static_cast<double>(predicted.count());
    return 0.5 * std::erfc(-std::log(ratio) / (spread() * std::numbers::sqrt2));
}

double run_time_estimator::log_factor(std::string_view queue, duration estimate,
                                      duration actual) const
{
    return std::log(static_cast<double>(std::max<duration::rep>(actual.count(), 1))) -
           std::log(static_cast<double>(std::max<duration::rep>(work(queue, estimate).count(), 1)));
}

void run_time_estimator::set_kind_factor(std::string_view kind, double log_factor)
{
    auto& mean = kinds_[std::string(kind)];
    mean.value = log_factor;
    mean.weight = std::max(mean.weight, trusted_weight);
}

void run_time_estimator::learn(std::string_view queue, std::string_view kind, duration estimate,
                               duration actual)
{
    if (estimate.count() <= 0 || actual.count() <= 0) {
        return;
    }
    // Workers are chosen by the prediction, which errs with the estimate. So the factor of a kind
    // is the mean ratio to the prediction: the ratio to the estimate is biased by that choice.
    const double ratio = log_factor(queue, estimate, actual);
    const double error = ratio - std::log(kind_factor(kind));
    squared_error_.add(error * error, max_spread_weight);
    auto& kind_mean = kinds_[std::string(kind)];
    kind_mean.add(std::clamp(ratio, -3.0, 3.0), max_kind_weight);
    queues_[std::string(queue)].add(std::log(static_cast<double>(actual.count())) - kind_mean.value,
                                    max_queue_weight);
}

} // namespace cactusloom
