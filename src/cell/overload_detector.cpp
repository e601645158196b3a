#include "cell/overload_detector.h"

#include <algorithm>

namespace cactusloom {

namespace {

// Weight of the newest of about ten samples a second: about three late samples in a row raise the
// share above the limit, a single pause of any length does not.
constexpr double newest_sample_weight = 0.3;
constexpr double overload_share = 0.4;
constexpr double normal_share = 0.1;
// Keeps control from moving back and forth.
constexpr duration recovery_time = std::chrono::seconds{3};

} // namespace

void overload_detector::add_sample(duration late, duration elapsed, monotonic_time now)
{
    const double share = elapsed > duration::zero() ? static_cast<double>(late.count()) /
                                                          static_cast<double>(elapsed.count())
                                                    : 0.0;
    late_share_ += newest_sample_weight * (std::clamp(share, 0.0, 1.0) - late_share_);
    if (late_share_ > normal_share) {
        last_busy_at_ = now;
    }
    if (late_share_ > overload_share) {
        overloaded_ = true;
    }
    else if (now - last_busy_at_ > recovery_time) {
        overloaded_ = false;
    }
}

} // namespace cactusloom
