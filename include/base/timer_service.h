#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace cactusloom {

// Identifies a scheduled callback. Zero is never issued.
using timer_id = std::uint64_t;

// Runs callbacks at a later time on the thread of the event loop. It is also the clock of its
// users.
class timer_service : public clock {
public:
    // Runs `fn` once after `delay`, never from inside the call, even if the delay is zero.
    virtual timer_id schedule(duration delay, std::function<void()> fn) = 0;

    // Cancels a callback. Ignores an id that has run or was cancelled.
    virtual void cancel(timer_id id) = 0;
};

} // namespace cactusloom
