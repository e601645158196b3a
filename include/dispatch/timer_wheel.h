#pragma once

#include "base/timer_service.h"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace cactusloom {

// Many timers of one part on one timer of the service. Most timers of a dispatcher are cancelled
// before they are due, and here both adding and cancelling cost a few stores and no allocation.
// A timer runs at its due time or up to a millisecond later, never earlier.
class timer_wheel {
public:
    // Identifies a timer until it runs or is cancelled; then the number is reused.
    using handle = std::uint32_t;
    static constexpr handle none = ~handle{0};

    // Calls `on_due` with the key of each timer that is due.
    timer_wheel(timer_service& timers, std::function<void(std::uint64_t key)> on_due);
    ~timer_wheel();
    timer_wheel(const timer_wheel&) = delete;
    timer_wheel& operator=(const timer_wheel&) = delete;

    handle add(monotonic_time due, std::uint64_t key);

    // Cancels a timer and sets its handle to none. Ignores none.
    void cancel(handle& timer);

    std::size_t bytes() const;

private:
    // 65.5 s at 1 ms: a deadline of 60 s and its grace fit into one turn.
    static constexpr std::size_t slot_count = 1U << 16U;
    static constexpr std::size_t due_slot = slot_count; // timers that are due and have not run

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
    std::array<std::uint64_t, slot_count / 64> used_{}; // a bit for each slot that has timers
    std::int64_t cursor_ = 0;                           // last tick that was looked at
    std::int64_t armed_tick_ = 0;
    timer_id armed_ = 0;
};

} // namespace cactusloom
