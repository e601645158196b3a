#pragma once

#include "base/time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusloom {

// Predicts run times from the caller's guess, what tasks of the same queue took, and how fast
// each kind of worker and each worker proved. Callers' guesses are off by a large factor either
// way, so a guess is averaged with the queue's mean on a log scale.
class run_time_estimator {
public:
    // Work of a task of `queue` at speed 1.
    duration work(std::string_view queue, duration guess) const;

    // Run time at speed 1 times this gives the run time on a worker of the kind.
    double kind_factor(std::string_view kind) const;

    // Smallest factor of the kinds seen, 1 if there are none.
    double fastest_factor() const;

    // Learns from a task that ended done after `actual` on a worker of `kind`.
    void learn(std::string_view queue, std::string_view kind, duration guess, duration actual);

private:
    struct mean_log {
        double value = 0;
        double weight = 0;
        void add(double sample, double max_weight);
    };

    std::unordered_map<std::string, mean_log> queues_; // log of work in us at speed 1
    std::unordered_map<std::string, mean_log> kinds_;  // log of the kind's factor
};

} // namespace cactusloom
