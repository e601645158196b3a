#pragma once

#include "base/timer_service.h"

#include <memory>

struct _GMainContext;

namespace cactusloom {

// Timer service on a GLib main context. All timers share one GSource with an ordered queue.
class glib_timer_service final : public timer_service {
public:
    // Uses the default context when `context` is null. The context must outlive the service.
    explicit glib_timer_service(_GMainContext* context = nullptr);
    ~glib_timer_service() override;

    monotonic_time monotonic_now() const override;
    wall_time wall_now() const override;
    timer_id schedule(duration delay, std::function<void()> fn) override;
    void cancel(timer_id id) override;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
