#include "cell/side_watch.h"

#include "cell/cut_watch.h"

namespace cactusloom {

namespace {

// Late replies tell of a cut before its links are given up, after 400 ms. A controller that does
// not hear a front for 600 ms stops its jobs.
constexpr duration job_patience = std::chrono::milliseconds{500};

} // namespace

void side_watch::update(bool is_smaller, bool is_data_centre, monotonic_time now)
{
    is_data_centre_ = is_data_centre;
    if (!is_smaller) {
        if (this->is_smaller()) {
            ended_at_ = now;
        }
        since_ = {};
        fenced_ = false;
    }
    else if (since_ == monotonic_time{}) {
        since_ = now;
    }
}

bool side_watch::is_ending(monotonic_time now) const
{
    return !is_smaller() && ended_at_ != monotonic_time{} && now - ended_at_ <= cut_ending_time;
}

bool side_watch::is_hopeless(monotonic_time now) const
{
    return is_smaller() && !is_data_centre_ && now - since_ > job_patience;
}

} // namespace cactusloom
