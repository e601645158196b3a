#include "net/poller.h"

#include <array>
#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactusloom {

namespace {

// Few, so that the time is checked often: one event can bring dozens of jobs.
constexpr int max_events_per_wait = 8;
// Bounds the work of one loop iteration, so that timers run on time while many sockets are ready.
constexpr gint64 max_turn_us = 10000;

struct epoll_source {
    GSource base;
    poller* owner;
    void (*run_deferred)(poller*);
    void (*run_events)(poller*);
};

gboolean prepare(GSource* source, gint* timeout)
{
    auto* it = reinterpret_cast<epoll_source*>(source);
    it->run_deferred(it->owner);
    *timeout = -1;
    return FALSE;
}

gboolean dispatch(GSource* source, GSourceFunc /*callback*/, gpointer /*data*/)
{
    auto* it = reinterpret_cast<epoll_source*>(source);
    it->run_events(it->owner);
    return G_SOURCE_CONTINUE;
}

GSourceFuncs source_functions = {prepare, nullptr, dispatch, nullptr, nullptr, nullptr};

} // namespace

struct poller::state {
    int epoll = -1;
    GSource* source = nullptr;
    // Shared, so that a handler may remove its own descriptor while it runs.
    std::unordered_map<int, std::shared_ptr<handler>> handlers;
    std::vector<std::function<void()>> deferred;
};

poller::poller(GMainContext* context) : state_(std::make_unique<state>())
{
    state_->epoll = epoll_create1(EPOLL_CLOEXEC);
    state_->source = g_source_new(&source_functions, sizeof(epoll_source));
    auto* it = reinterpret_cast<epoll_source*>(state_->source);
    it->owner = this;
    it->run_deferred = [](poller* self) {
        // Deferred functions may defer others; the limit on rounds keeps the loop responsive.
        constexpr int max_rounds = 4;
        for (int n = 0; n < max_rounds && !self->state_->deferred.empty(); ++n) {
            const auto batch = std::exchange(self->state_->deferred, {});
            for (const auto& fn : batch) {
                fn();
            }
        }
    };
    it->run_events = [](poller* self) {
        std::array<epoll_event, max_events_per_wait> events{};
        const auto end = g_get_monotonic_time() + max_turn_us;
        int n = 0;
        do {
            // Ready descriptors are reported in turn, so those left over come first next time.
            n = epoll_wait(self->state_->epoll, events.data(), max_events_per_wait, 0);
            for (int i = 0; i < n; ++i) {
                const auto& event = events[static_cast<std::size_t>(i)];
                const auto found = self->state_->handlers.find(event.data.fd);
                if (found != self->state_->handlers.end()) {
                    const auto fn = found->second;
                    (*fn)(event.events);
                }
            }
        } while (n == max_events_per_wait && g_get_monotonic_time() < end);
    };
    g_source_add_unix_fd(state_->source, state_->epoll, G_IO_IN);
    g_source_attach(state_->source, context);
}

poller::~poller()
{
    g_source_destroy(state_->source);
    g_source_unref(state_->source);
    close(state_->epoll);
}

void poller::add(int descriptor, std::uint32_t events, handler fn)
{
    state_->handlers[descriptor] = std::make_shared<handler>(std::move(fn));
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(state_->epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void poller::modify(int descriptor, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(state_->epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void poller::remove(int descriptor)
{
    if (state_->handlers.erase(descriptor) != 0) {
        epoll_ctl(state_->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

void poller::defer(std::function<void()> fn)
{
    state_->deferred.push_back(std::move(fn));
}

} // namespace cactusloom
