#include "job_spread.h"

#include <algorithm>

namespace cactusloom {

job_spread::job_spread(std::span<const float> rack_slot_share)
    : rack_slot_share_(rack_slot_share.begin(), rack_slot_share.end()),
      counts_(jobs * rack_slot_share.size()), totals_(jobs), keys_(jobs),
      penalties_(rack_slot_share.size())
{
}

std::size_t job_spread::find(std::uint64_t job_key)
{
    // Fibonacci hashing, which maps consecutive keys to different slots.
    const std::size_t place = (job_key * 0x9E3779B97F4A7C15U) >> 58U;
    if (keys_[place] != job_key) {
        keys_[place] = job_key;
        totals_[place] = 0;
        const auto first = counts_.begin() + static_cast<std::ptrdiff_t>(place * penalties_.size());
        std::fill_n(first, penalties_.size(), 0.0F);
    }
    return place;
}

std::span<const float> job_spread::penalties(std::uint64_t job_key)
{
    const std::size_t place = find(job_key);
    const float total = std::max(totals_[place], 1.0F);
    for (std::size_t i = 0; i < penalties_.size(); ++i) {
        const float part = counts_[place * penalties_.size() + i] / total;
        penalties_[i] = std::max(part - rack_slot_share_[i], 0.0F);
    }
    return penalties_;
}

void job_spread::add(std::uint64_t job_key, std::size_t rack)
{
    const std::size_t place = find(job_key);
    totals_[place] += 1;
    counts_[place * penalties_.size() + rack] += 1;
}

} // namespace cactusloom
