#pragma once

#include "base/timer_queue.h"

namespace cactusloom {

// Timer service with simulated time that only tests and benchmarks advance.
class virtual_timer_service final : public timer_service {
public:
    monotonic_time monotonic_now() const override { return now_; }
    wall_time wall_now() const override;
    timer_id schedule(duration delay, std::function<void()> fn) override;
    void cancel(timer_id id) override;

    // Advances time by `span` and runs the callbacks that become due, in order.
    void advance(duration span);

    // Advances time without running callbacks, as a pause of the process does. Those that have
    // become due run late, with the next advance.
    void skip(duration span) { now_ += span; }

    // Advances time to the next callback and runs it. Returns false if there is none.
    bool run_next();

private:
    timer_queue queue_;
    monotonic_time now_{};
};

} // namespace cactusloom
