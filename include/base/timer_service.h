#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace cactusloom {

// Identifies a scheduled callback. Zero is never issued.
using timer_id = std::uint64_t;

// Runs callbacks at a later time on the loop's thread. It is also the clock of its subscribers.
class timer_service : public clock {
public:
    // Runs `fn` once after `delay`; a delay of zero runs it on a later turn of the loop.
    virtual timer_id schedule(duration delay, std::function<void()> fn) = 0;

    // Forgets a callback. An id that has run or was cancelled is ignored.
    virtual void cancel(timer_id id) = 0;
};

} // namespace cactusloom
