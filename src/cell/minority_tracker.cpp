#include "cell/minority_tracker.h"

#include "cell/isolation_tracker.h"

namespace cactusloom {

namespace {

// Overdue replies show a partition before its links are dropped, after 400 ms. A controller that
// has not heard from a submitting instance for 600 ms stops its jobs.
constexpr duration unassigned_job_timeout = std::chrono::milliseconds{500};

} // namespace

void minority_tracker::update(bool in_minority, bool isolated_data_centre, monotonic_time now)
{
    isolated_data_centre_ = isolated_data_centre;
    if (!in_minority) {
        if (this->in_minority()) {
            ended_at_ = now;
        }
        since_ = {};
        fenced_ = false;
    }
    else if (since_ == monotonic_time{}) {
        since_ = now;
    }
}

bool minority_tracker::is_rejoining(monotonic_time now) const
{
    return !in_minority() && ended_at_ != monotonic_time{} && now - ended_at_ <= rejoin_grace;
}

bool minority_tracker::should_fail_unassigned_jobs(monotonic_time now) const
{
    return in_minority() && !isolated_data_centre_ && now - since_ > unassigned_job_timeout;
}

} // namespace cactusloom
