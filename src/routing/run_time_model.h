#pragma once

#include "base/time.h"
#include "config/deployment.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cactusloom {

// Run-time statistics of each request kind, learned from replies in constant memory. Means are
// normalised to a worker of speed 1; quantiles are of the run times as observed.
class run_time_model {
public:
    explicit run_time_model(const deployment& settings);

    // Adds the kinds of a new configuration. Known kinds keep their statistics.
    void apply(const deployment& settings);

    // Records a run of `seconds` on a worker whose inverse speed is `inverse_speed`.
    void learn(std::uint32_t kind, float seconds, float inverse_speed);

    // Mean run time in seconds at speed 1. Half of an error in the declared run time is gone after
    // one reply.
    float mean(std::uint32_t kind) const { return kinds_[kind].mean; }

    // Mean of the natural logarithm of the run time in seconds at speed 1.
    float log_mean(std::uint32_t kind) const { return kinds_[kind].log_mean; }

    // False while the declared run time, which is often wrong, still dominates the mean.
    bool is_learned(std::uint32_t kind) const { return kinds_[kind].runs >= 10; }

    // Mean run time in seconds at speed 1 over recent runs of all kinds.
    float mean() const { return mean_; }

    // Mean run time in seconds over recent runs of all kinds, as observed.
    float observed_mean() const { return observed_mean_; }

    duration quantile(std::uint32_t kind, double quantile) const;

private:
    // Bucket bounds grow by 2^(1/8) from 100 us, so a quantile is within 9 % and 160 buckets reach
    // 100 s.
    static constexpr std::size_t buckets = 160;

    struct kind_state {
        float mean = 0;
        float log_mean = 0;
        float runs = 0;
        float sample_count = 0;
        duration declared{};
        std::array<float, buckets> counts{};
    };

    std::vector<kind_state> kinds_;
    float mean_ = 0;
    float observed_mean_ = 0;
    float runs_ = 0;
};

} // namespace cactusloom
