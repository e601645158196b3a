#pragma once

#include "base/timer_queue.h"

namespace cactusloom {

// Timer service whose time moves only when a test or benchmark moves it.
class virtual_timer_service final : public timer_service {
public:
    monotonic_time monotonic_now() const override { return now_; }
    wall_time wall_now() const override;
    timer_id schedule(duration delay, std::function<void()> fn) override;
    void cancel(timer_id id) override;

    // Runs every callback due within `span` in order and ends `span` later.
    void advance(duration span);

    // Runs the next callback and moves time to it. Returns false if there is none.
    bool run_next();

private:
    timer_queue queue_;
    monotonic_time now_{};
};

} // namespace cactusloom
