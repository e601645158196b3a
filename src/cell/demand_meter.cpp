#include "demand_meter.h"

#include <cmath>

namespace cactusloom {

namespace {

// Long against the gaps between jobs, short against a burst.
constexpr duration smoothing_time = std::chrono::seconds{1};

} // namespace

double demand_meter::rate(monotonic_time now) const
{
    const auto elapsed = static_cast<double>((now - measured_at_).count());
    return rate_ * std::exp(-elapsed / static_cast<double>(smoothing_time.count()));
}

void demand_meter::record(double work, monotonic_time now)
{
    rate_ = rate(now) + work / static_cast<double>(smoothing_time.count());
    measured_at_ = now;
}

} // namespace cactusloom
