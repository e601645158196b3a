#pragma once

#include "base/time.h"

namespace cactusloom {

// Measures how much work arrives, as a smoothed rate. Work is in core-microseconds at speed 1, so
// the rate is a number of cores.
class demand_meter {
public:
    void record(double work, monotonic_time now);

    // Cores that the arriving work keeps busy.
    double rate(monotonic_time now) const;

private:
    double rate_ = 0; // at `measured_at_`
    monotonic_time measured_at_;
};

} // namespace cactusloom
