#include "dispatch/hedge_policy.h"

#include <algorithm>

namespace cactusloom {
namespace {

// Bound on the tokens that can be saved for a burst, in messages.
constexpr double max_tokens = 300.0;

// Minimum number of samples: a quantile of fewer is unreliable, and a declared run time is often
// far off.
constexpr std::uint64_t min_samples = 100;

} // namespace

hedge_policy::hedge_policy(const dispatch_profile& profile)
{
    apply(profile);
}

void hedge_policy::apply(const dispatch_profile& profile)
{
    tokens_per_task_ = std::max(0.0, profile.message_budget - 2.0);
    quantile_ = profile.hedge_quantile;
}

void hedge_policy::record_first_start()
{
    tokens_ = std::min(max_tokens, tokens_ + tokens_per_task_);
}

void hedge_policy::record_extra_messages(double count)
{
    // Retries and renewals do not check the budget first, so the balance may become negative.
    tokens_ = std::max(-max_tokens, tokens_ - count);
}

std::optional<duration> hedge_policy::delay(const request_kind& kind, duration learned,
                                            std::uint64_t samples) const
{
    if (!kind.second_start || !kind.idempotent || samples < min_samples) {
        return std::nullopt;
    }
    return learned;
}

} // namespace cactusloom
