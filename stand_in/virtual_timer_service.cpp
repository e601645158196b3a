#include "stand_in/virtual_timer_service.h"

#include <algorithm>

namespace cactusloom {
namespace {

// A fixed date, so that every run records the same times.
constexpr auto wall_origin = wall_time{std::chrono::hours{24 * 365 * 50}};

} // namespace

wall_time virtual_timer_service::wall_now() const
{
    return wall_origin + now_.time_since_epoch();
}

timer_id virtual_timer_service::schedule(duration delay, std::function<void()> fn)
{
    return queue_.add(now_ + std::max(delay, duration::zero()), std::move(fn));
}

void virtual_timer_service::cancel(timer_id id)
{
    queue_.cancel(id);
}

void virtual_timer_service::advance(duration span)
{
    const auto end = now_ + span;
    while (queue_.next_due() && *queue_.next_due() <= end) {
        run_next();
    }
    now_ = end;
}

bool virtual_timer_service::run_next()
{
    const auto due = queue_.next_due();
    if (!due) {
        return false;
    }
    now_ = std::max(now_, *due);
    queue_.take_due(now_)();
    return true;
}

} // namespace cactusloom
