#include "worker_speed.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {

namespace {

constexpr double max_weight = 100;
constexpr double known_weight = 12;
// Logarithm of a factor of 1.5. Predictions have a standard deviation of about 0.3, and up to four
// of the runs may be of one job.
constexpr double min_difference = 0.4;
constexpr double max_log_factor = 3;

} // namespace

void worker_speed::learn(double log_factor)
{
    weight_ = std::min(weight_ + 1, max_weight);
    mean_ += (std::clamp(log_factor, -max_log_factor, max_log_factor) - mean_) / weight_;
}

bool worker_speed::is_known() const
{
    return weight_ >= known_weight;
}

bool worker_speed::differs_from(double kind_factor) const
{
    return is_known() && std::abs(mean_ - std::log(kind_factor)) > min_difference;
}

double worker_speed::factor(double kind_factor) const
{
    return differs_from(kind_factor) ? std::exp(mean_) : kind_factor;
}

} // namespace cactusloom
