#pragma once

#include "base/time.h"
#include "cell/scheduling_policies.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusloom {

// Predicts run times from the caller's estimate, the run times of earlier tasks of the queue and
// the measured speed of each kind of worker. Callers' estimates are wrong by a large factor either
// way, so an estimate is averaged with the queue's mean on a log scale.
class run_time_estimator {
public:
    explicit run_time_estimator(const scheduling_policies& policies = {}) : policies_(policies) {}

    // Predicted run time of a task of `queue` at speed 1.
    duration work(std::string_view queue, duration estimate) const;

    // Run time on a worker of the kind as a multiple of the run time at speed 1.
    double kind_factor(std::string_view kind) const;

    // Smallest factor of all kinds with enough samples, or 1 if there are none.
    double fastest_factor() const;

    // Standard deviation of the logarithm of actual over predicted run time.
    double spread() const;

    // Probability that a task with the predicted run time ends within `time`.
    double chance(duration predicted, duration time) const;

    // Natural logarithm of a run time over the predicted one at speed 1.
    double log_factor(std::string_view queue, duration estimate, duration actual) const;

    // Sets the natural logarithm of the factor of a kind, in place of the mean of its samples.
    void set_kind_factor(std::string_view kind, double log_factor);

    // Adds the sample of a task that was done after `actual` on a worker of `kind`.
    void learn(std::string_view queue, std::string_view kind, duration estimate, duration actual);

private:
    // Mean of logarithms with exponential forgetting.
    struct log_mean {
        double value = 0;
        double weight = 0;
        void add(double sample, double max_weight);
    };

    scheduling_policies policies_;
    log_mean squared_error_;                           // of log predictions
    std::unordered_map<std::string, log_mean> queues_; // log of the run time in us at speed 1
    std::unordered_map<std::string, log_mean> kinds_;  // log of the kind's factor
};

} // namespace cactusloom
