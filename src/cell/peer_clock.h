#pragma once

#include "base/time.h"

#include <cstdint>

namespace cactusloom {

// Estimates the steady clock of a peer from its replies. The estimate is never ahead of that clock
// as long as the rates of both clocks differ by less than 2 %. The reply that was read soonest
// after it was sent counts, so that replies which wait unread here do not set the estimate back.
class peer_clock {
public:
    bool is_known() const { return is_known_; }

    // Adds a reply that was sent at `clock_ms` on the peer's clock and read at `now` on this one.
    void add_reply(std::int64_t clock_ms, monotonic_time now)
    {
        const auto offset = std::chrono::milliseconds{clock_ms} - now.time_since_epoch();
        if (!is_known_ || offset > offset_at(now)) {
            is_known_ = true;
            offset_ = offset;
            set_at_ = now;
        }
    }

    // The estimate in ms for a time up to now; it must be known.
    std::int64_t at(monotonic_time time) const
    {
        return (time.time_since_epoch() + offset_at(time)) / std::chrono::milliseconds{1};
    }

private:
    duration offset_at(monotonic_time time) const
    {
        constexpr int max_rate_divisor = 50; // 2 %
        return offset_ - std::chrono::abs(time - set_at_) / max_rate_divisor;
    }

    bool is_known_ = false;
    duration offset_{}; // of the peer's clock from this one, at `set_at_`
    monotonic_time set_at_;
};

} // namespace cactusloom
