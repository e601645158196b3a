#include "cell/cancelled_jobs.h"

#include "base/hash.h"

namespace cactusloom {

namespace {

// Callers ask for the state of a job, or send it again, for up to two minutes.
constexpr duration lifetime = std::chrono::minutes{2};

} // namespace

bool cancelled_jobs::add(std::string_view id, bool acknowledged_here)
{
    forget_old();
    const auto hash = hash64(id);
    if (!hashes_.insert(hash).second) {
        return false;
    }
    entries_.push_back({hash, timers_.monotonic_now(), std::string(id), acknowledged_here});
    return true;
}

bool cancelled_jobs::contains(std::string_view id) const
{
    return !hashes_.empty() && hashes_.contains(hash64(id));
}

std::vector<std::string> cancelled_jobs::acknowledged_here() const
{
    return newest(true);
}

std::vector<std::string> cancelled_jobs::all() const
{
    return newest(false);
}

std::vector<std::string> cancelled_jobs::newest(bool only_acknowledged_here) const
{
    std::vector<std::string> out;
    for (auto it = entries_.rbegin(); it != entries_.rend() && out.size() < max_passed_on; ++it) {
        if (it->acknowledged_here || !only_acknowledged_here) {
            out.push_back(it->id);
        }
    }
    return out;
}

void cancelled_jobs::forget_old()
{
    const auto now = timers_.monotonic_now();
    while (!entries_.empty() &&
           (entries_.size() >= max_ids || now - entries_.front().added_at > lifetime)) {
        hashes_.erase(entries_.front().hash);
        entries_.pop_front();
    }
}

} // namespace cactusloom
