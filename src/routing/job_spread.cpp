#include "job_spread.h"

#include <algorithm>

namespace cactusloom {

job_spread::job_spread(std::span<const float> rack_slot_share)
    : rack_slot_share_(rack_slot_share.begin(), rack_slot_share.end()),
      counts_(max_jobs * rack_slot_share.size()), totals_(max_jobs), keys_(max_jobs),
      penalties_(rack_slot_share.size())
{
}

std::size_t job_spread::find_or_replace(std::uint64_t job_key)
{
    // Fibonacci hashing, which maps consecutive keys to different slots.
    const std::size_t slot = (job_key * 0x9E3779B97F4A7C15U) >> 58U;
    if (keys_[slot] != job_key) {
        keys_[slot] = job_key;
        totals_[slot] = 0;
        const auto first = counts_.begin() + static_cast<std::ptrdiff_t>(slot * penalties_.size());
        std::fill_n(first, penalties_.size(), 0.0F);
    }
    return slot;
}

std::span<const float> job_spread::penalties(std::uint64_t job_key)
{
    const std::size_t slot = find_or_replace(job_key);
    const float total = std::max(totals_[slot], 1.0F);
    for (std::size_t i = 0; i < penalties_.size(); ++i) {
        const float part = counts_[slot * penalties_.size() + i] / total;
        penalties_[i] = std::max(part - rack_slot_share_[i], 0.0F);
    }
    return penalties_;
}

void job_spread::add(std::uint64_t job_key, std::size_t rack)
{
    const std::size_t slot = find_or_replace(job_key);
    totals_[slot] += 1;
    counts_[slot * penalties_.size() + rack] += 1;
}

} // namespace cactusloom
