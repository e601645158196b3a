#include "base/timer_queue.h"

namespace cactusloom {

timer_id timer_queue::add(monotonic_time due, std::function<void()> fn)
{
    const timer_id id = ++last_id_;
    callbacks_.emplace(key{due, id}, std::move(fn));
    due_times_.emplace(id, due);
    return id;
}

void timer_queue::cancel(timer_id id)
{
    const auto it = due_times_.find(id);
    if (it == due_times_.end()) {
        return;
    }
    callbacks_.erase(key{it->second, id});
    due_times_.erase(it);
}

std::optional<monotonic_time> timer_queue::next_due() const
{
    if (callbacks_.empty()) {
        return std::nullopt;
    }
    return callbacks_.begin()->first.first;
}

std::function<void()> timer_queue::take_due(monotonic_time now)
{
    const auto it = callbacks_.begin();
    if (it == callbacks_.end() || it->first.first > now) {
        return {};
    }
    auto fn = std::move(it->second);
    due_times_.erase(it->first.second);
    callbacks_.erase(it);
    return fn;
}

} // namespace cactusloom
