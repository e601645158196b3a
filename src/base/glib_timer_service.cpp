#include "base/glib_timer_service.h"

#include "base/timer_queue.h"

#include <algorithm>
#include <glib.h>

namespace cactusloom {

struct glib_timer_service::state {
    timer_queue queue;
    GSource* source = nullptr;
};

namespace {

// Bounds the work of one loop iteration, so that sockets are served while many timers are due.
constexpr duration max_turn_time = std::chrono::milliseconds{10};

gint64 to_ready_time(monotonic_time time)
{
    return time.time_since_epoch().count();
}

gboolean dispatch_source(GSource* /*source*/, GSourceFunc callback, gpointer data)
{
    return callback(data);
}

GSourceFuncs source_functions = {nullptr, nullptr, dispatch_source, nullptr, nullptr, nullptr};

} // namespace

glib_timer_service::glib_timer_service(GMainContext* context) : state_(std::make_unique<state>())
{
    state_->source = g_source_new(&source_functions, sizeof(GSource));
    g_source_set_callback(
        state_->source,
        [](gpointer data) -> gboolean {
            auto* service = static_cast<glib_timer_service*>(data);
            const auto begin = service->monotonic_now();
            for (auto now = begin; now - begin < max_turn_time; now = service->monotonic_now()) {
                const auto fn = service->state_->queue.take_due(now);
                if (!fn) {
                    break;
                }
                fn();
            }
            const auto due = service->state_->queue.next_due();
            g_source_set_ready_time(service->state_->source, due ? to_ready_time(*due) : -1);
            return G_SOURCE_CONTINUE;
        },
        this, nullptr);
    g_source_set_ready_time(state_->source, -1);
    g_source_attach(state_->source, context);
}

glib_timer_service::~glib_timer_service()
{
    g_source_destroy(state_->source);
    g_source_unref(state_->source);
}

monotonic_time glib_timer_service::monotonic_now() const
{
    return monotonic_time{duration{g_get_monotonic_time()}};
}

wall_time glib_timer_service::wall_now() const
{
    return wall_time{duration{g_get_real_time()}};
}

timer_id glib_timer_service::schedule(duration delay, std::function<void()> fn)
{
    const auto due = monotonic_now() + std::max(delay, duration::zero());
    const timer_id id = state_->queue.add(due, std::move(fn));
    g_source_set_ready_time(state_->source, to_ready_time(*state_->queue.next_due()));
    return id;
}

void glib_timer_service::cancel(timer_id id)
{
    state_->queue.cancel(id);
}

} // namespace cactusloom
