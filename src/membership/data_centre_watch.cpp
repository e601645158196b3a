#include "membership/data_centre_watch.h"

#include <algorithm>

namespace cactusloom {
namespace {

// A cut that flaps would toggle the mark if a single answer removed it.
constexpr unsigned answers_to_return = 3;

// With three silent members and no answer from anyone else a cut is far more likely than three
// deaths within one suspicion period. A larger number would take too long to collect when one
// member a second is probed.
constexpr std::size_t enough_suspects = 3;

} // namespace

bool data_centre_watch::heard(std::string_view data_centre, monotonic_time now)
{
    auto it = contacts_.find(data_centre);
    if (it == contacts_.end()) {
        it = contacts_.emplace(data_centre, contact{}).first;
    }
    auto& found = it->second;
    const bool was_silent = !heard_recently(found, now);
    found.last = now;
    found.was_heard = true;
    if (found.cut_off) {
        if (++found.answers < answers_to_return) {
            return false;
        }
        found.cut_off = false;
        return true;
    }
    return was_silent;
}

void data_centre_watch::missed(std::string_view data_centre)
{
    if (const auto it = contacts_.find(data_centre); it != contacts_.end()) {
        it->second.answers = 0;
    }
}

data_centre_watch::verdict data_centre_watch::judge(std::string_view data_centre, std::size_t live,
                                                    std::size_t suspects, monotonic_time now) const
{
    const auto it = contacts_.find(data_centre);
    if (live < 2 || (it != contacts_.end() && heard_recently(it->second, now))) {
        return verdict::members_died;
    }
    const auto needed = std::min(live / 2 + 1, enough_suspects);
    return suspects >= needed ? verdict::cut_off : verdict::unclear;
}

void data_centre_watch::set_cut_off(std::string_view data_centre, monotonic_time now)
{
    auto& it = contacts_[std::string(data_centre)];
    it.cut_off = true;
    it.cut_off_since = now;
    it.answers = 0;
}

bool data_centre_watch::is_cut_off(std::string_view data_centre) const
{
    const auto it = contacts_.find(data_centre);
    return it != contacts_.end() && it->second.cut_off;
}

duration data_centre_watch::cut_off_for(std::string_view data_centre, monotonic_time now) const
{
    const auto it = contacts_.find(data_centre);
    return it != contacts_.end() && it->second.cut_off ? now - it->second.cut_off_since
                                                       : duration::zero();
}

bool data_centre_watch::any_heard(monotonic_time now) const
{
    return std::any_of(contacts_.begin(), contacts_.end(),
                       [&](const auto& it) { return heard_recently(it.second, now); });
}

} // namespace cactusloom
