#include "dispatch/retry_budget.h"

#include <algorithm>

namespace cactusloom {
namespace {

// Allows retries shortly after the start of the process.
constexpr double initial_tokens = 10.0;

// Bounds a burst of retries after a long time without any.
constexpr double max_tokens = 100.0;

constexpr duration first_backoff = std::chrono::milliseconds{2};
constexpr duration longest_backoff = std::chrono::milliseconds{100};

} // namespace

retry_budget::retry_budget(double ratio, std::uint32_t seed)
    : ratio_(ratio), tokens_(initial_tokens), random_(seed)
{
}

void retry_budget::record_first_start()
{
    tokens_ = std::min(max_tokens, tokens_ + ratio_);
}

bool retry_budget::try_take()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

duration retry_budget::backoff(unsigned retry)
{
    const unsigned doublings = std::min(retry > 0 ? retry - 1 : 0, 6U);
    const duration nominal = std::min(first_backoff * (1 << doublings), longest_backoff);
    const auto span = static_cast<std::uint32_t>(nominal.count());
    return nominal / 2 + duration{draw_below(random_, span)};
}

} // namespace cactusloom
