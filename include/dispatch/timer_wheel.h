#pragma once

#include "base/timer_service.h"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace cactusloom {

// Timing wheel that multiplexes many timers onto one timer of the timer service. Most timers of a
// dispatcher are cancelled before they are due; adding and cancelling cost a few stores and, in
// steady state, no allocation. A timer runs at its due time or up to a millisecond later, never
// earlier.
class timer_wheel {
public:
    // Identifies a timer until it runs or is cancelled. Handles are reused after that.
    using handle = std::uint32_t;
    static constexpr handle none = ~handle{0};

    // `on_due` is called with the key of each due timer.
    timer_wheel(timer_service& timers, std::function<void(std::uint64_t key)> on_due);
    ~timer_wheel();
    timer_wheel(const timer_wheel&) = delete;
    timer_wheel& operator=(const timer_wheel&) = delete;

    handle add(monotonic_time due, std::uint64_t key);

    // Cancels a timer and sets its handle to `none`. Does nothing if it already is.
    void cancel(handle& timer);

    std::size_t bytes() const;

private:
    // One revolution is 65.5 s at 1 ms per slot, enough for a deadline of 60 s and its grace.
    static constexpr std::size_t slot_count = 1U << 16U;
    static constexpr std::size_t due_slot = slot_count; // due timers that have not run yet

    struct node {
        std::uint64_t key = 0;
        std::int64_t tick = 0;
        std::uint32_t slot = 0;
        handle previous = none;
        handle next = none;
    };

    void link(handle timer, std::uint32_t slot);
    void unlink(handle timer);
    void arm();
    void run();
    std::int64_t next_tick() const;

    timer_service& timers_;
    std::function<void(std::uint64_t)> on_due_;
    std::vector<node> nodes_;
    handle free_ = none;
    std::vector<handle> heads_;
    std::array<std::uint64_t, slot_count / 64> used_{}; // bitmap of the slots that hold timers
    std::int64_t cursor_ = 0;                           // last tick processed
    std::int64_t armed_tick_ = 0;
    timer_id armed_ = 0;
};

} // namespace cactusloom
