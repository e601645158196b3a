#pragma once

#include "base/timer_service.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cactusloom {

// Callbacks ordered by due time; equal due times in order of scheduling. Used by the real and the
// simulated timer service.
class timer_queue {
public:
    timer_id add(monotonic_time due, std::function<void()> fn);
    void cancel(timer_id id);

    // Due time of the earliest callback, if any.
    std::optional<monotonic_time> next_due() const;

    // Removes and returns the earliest callback due at or before `now`, or an empty function.
    std::function<void()> take_due(monotonic_time now);

    bool empty() const { return callbacks_.empty(); }

private:
    using key = std::pair<monotonic_time, timer_id>;

    std::map<key, std::function<void()>> callbacks_;
    std::unordered_map<timer_id, monotonic_time> due_times_;
    timer_id last_id_ = 0;
};

} // namespace cactusloom
