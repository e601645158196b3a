#include "metrics/latency_recorder.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>

namespace cactusloom {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 5> quantile_points{0.25, 0.5, 0.75, 0.9, 0.99};

// The estimator never discards samples, so windows are rotated to follow changes of the load.
constexpr std::uint64_t window_size = 10000;

} // namespace

struct latency_recorder::window {
    using accumulator =
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

    accumulator samples{acc::tag::extended_p_square::probabilities = quantile_points};
};

latency_recorder::latency_recorder() : current_(std::make_unique<window>()) {}

latency_recorder::~latency_recorder() = default;

void latency_recorder::record(duration latency)
{
    if (acc::count(current_->samples) >= window_size) {
        previous_ = std::move(current_);
        current_ = std::make_unique<window>();
    }
    current_->samples(static_cast<double>(latency.count()));
    ++count_;
}

latency_recorder::summary latency_recorder::read() const
{
    // The estimator is accurate only after several hundred samples.
    const bool has_few_samples = previous_ && acc::count(current_->samples) < window_size / 10;
    const auto values = acc::extended_p_square((has_few_samples ? previous_ : current_)->samples);
    const auto at = [&](std::size_t n) {
        return duration{static_cast<duration::rep>(std::lround(values[n]))};
    };
    return {count_, at(1), at(3), at(4)};
}

} // namespace cactusloom
