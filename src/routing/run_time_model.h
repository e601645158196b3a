#pragma once

#include "base/time.h"
#include "config/deployment.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cactusloom {

// Run times of each request kind, learned from replies in constant memory. Means are normalised
// to a worker of speed 1, quantiles are over the workers that were used.
class run_time_model {
public:
    explicit run_time_model(const deployment& settings);

    // Takes the kinds of a new document. Known kinds keep what was learned.
    void apply(const deployment& settings);

    // Takes in a run of `seconds` on a worker whose inverse speed is `inverse_speed`.
    void learn(std::uint32_t kind, float seconds, float inverse_speed);

    // Mean seconds at speed 1. Half of a wrong declaration is gone after two replies.
    float mean(std::uint32_t kind) const { return kinds_[kind].mean; }

    // Mean of ln seconds at speed 1.
    float log_mean(std::uint32_t kind) const { return kinds_[kind].log_mean; }

    // False while the mean still carries much of the declared run time, which is often wrong.
    bool is_learned(std::uint32_t kind) const { return kinds_[kind].runs >= 10; }

    // Mean seconds at speed 1 over the kinds that were run lately.
    float mean() const { return mean_; }

    // Mean seconds as observed, on the workers that were used.
    float observed_mean() const { return observed_mean_; }

    duration quantile(std::uint32_t kind, double quantile) const;

private:
    // Buckets grow by 2^(1/8) from 100 us, so a quantile is within 9 % and 160 reach 100 s.
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
