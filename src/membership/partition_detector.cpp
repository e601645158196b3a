#include "membership/partition_detector.h"

#include <algorithm>

namespace cactusloom {
namespace {

// A flapping partition would toggle the mark if a single contact removed it.
constexpr unsigned contacts_to_clear = 3;

// With three suspects and no contact to any other member, a partition is far more likely than three
// deaths within one suspicion period. A larger number would take too long to collect when one
// member a second is probed.
constexpr std::size_t min_partition_suspects = 3;

} // namespace

bool partition_detector::record_contact(std::string_view data_centre, monotonic_time now)
{
    auto it = contacts_.find(data_centre);
    if (it == contacts_.end()) {
        it = contacts_.emplace(data_centre, contact{}).first;
    }
    auto& found = it->second;
    const bool was_silent = !is_recent(found, now);
    found.last = now;
    found.has_contact = true;
    if (found.partitioned) {
        if (++found.consecutive_contacts < contacts_to_clear) {
            return false;
        }
        found.partitioned = false;
        return true;
    }
    return was_silent;
}

void partition_detector::record_failed_probe(std::string_view data_centre)
{
    if (const auto it = contacts_.find(data_centre); it != contacts_.end()) {
        it->second.consecutive_contacts = 0;
    }
}

partition_detector::verdict partition_detector::classify(std::string_view data_centre,
                                                         std::size_t live, std::size_t suspects,
                                                         monotonic_time now) const
{
    const auto it = contacts_.find(data_centre);
    if (live < 2 || (it != contacts_.end() && is_recent(it->second, now))) {
        return verdict::members_died;
    }
    const auto needed = std::min(live / 2 + 1, min_partition_suspects);
    return suspects >= needed ? verdict::partitioned : verdict::undecided;
}

void partition_detector::mark_partitioned(std::string_view data_centre, monotonic_time now)
{
    auto& it = contacts_[std::string(data_centre)];
    it.partitioned = true;
    it.partitioned_since = now;
    it.consecutive_contacts = 0;
}

bool partition_detector::is_partitioned(std::string_view data_centre) const
{
    const auto it = contacts_.find(data_centre);
    return it != contacts_.end() && it->second.partitioned;
}

duration partition_detector::partitioned_for(std::string_view data_centre, monotonic_time now) const
{
    const auto it = contacts_.find(data_centre);
    return it != contacts_.end() && it->second.partitioned ? now - it->second.partitioned_since
                                                           : duration::zero();
}

bool partition_detector::any_recent_contact(monotonic_time now) const
{
    return std::any_of(contacts_.begin(), contacts_.end(),
                       [&](const auto& it) { return is_recent(it.second, now); });
}

} // namespace cactusloom
