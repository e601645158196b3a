#include "net/poller.h"

#include <algorithm>
#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactusloom {

namespace {

// Bounds the work of one loop iteration, so that timers run on time while many sockets are ready.
constexpr gint64 max_turn_us = 10000;
// A peer that sends without a pause must not keep the other descriptors waiting.
constexpr int max_repeats_per_batch = 256;

struct epoll_source {
    GSource base;
    poller* owner;
    bool (*prepare)(poller*);
    bool (*check)(poller*);
    void (*run_events)(poller*);
};

gboolean prepare(GSource* source, gint* timeout)
{
    const auto* it = reinterpret_cast<epoll_source*>(source);
    *timeout = -1;
    return it->prepare(it->owner) ? TRUE : FALSE;
}

gboolean check(GSource* source)
{
    const auto* it = reinterpret_cast<epoll_source*>(source);
    return it->check(it->owner) ? TRUE : FALSE;
}

gboolean dispatch(GSource* source, GSourceFunc /*callback*/, gpointer /*data*/)
{
    const auto* it = reinterpret_cast<epoll_source*>(source);
    it->run_events(it->owner);
    return G_SOURCE_CONTINUE;
}

GSourceFuncs source_functions = {prepare, check, dispatch, nullptr, nullptr, nullptr};

} // namespace

struct poller::state {
    // A descriptor number may be reused while an event of the closed one waits in the batch.
    struct watch {
        std::uint32_t generation = 0;
        std::shared_ptr<handler> fn; // shared, so that a handler may remove its own descriptor
    };

    int epoll = -1;
    GSource* source = nullptr;
    gpointer epoll_tag = nullptr;
    const clock* time = nullptr;
    std::unordered_map<int, watch> watches;
    std::uint32_t generations = 0;
    std::vector<std::function<void()>> deferred;
    // The descriptors that were ready at one moment. They are all handled before the next batch.
    std::vector<epoll_event> batch;
    std::size_t batch_handled = 0;
    int batch_repeats = 0;
    bool batch_left_input = false;
    monotonic_time batch_taken_at;
    monotonic_time iteration_began;
    std::shared_ptr<monotonic_time> read_until = std::make_shared<monotonic_time>();

    monotonic_time now() const
    {
        return time != nullptr ? time->monotonic_now()
                               : monotonic_time{duration{g_get_monotonic_time()}};
    }

    static std::uint64_t event_key(int descriptor, std::uint32_t generation)
    {
        return (std::uint64_t{generation} << 32U) | static_cast<std::uint32_t>(descriptor);
    }

    void run_deferred()
    {
        // Deferred functions may defer others; the limit on rounds keeps the loop responsive.
        constexpr int max_rounds = 4;
        for (int n = 0; n < max_rounds && !deferred.empty(); ++n) {
            const auto functions = std::exchange(deferred, {});
            for (const auto& fn : functions) {
                fn();
            }
        }
    }

    bool has_batch() const { return batch_handled < batch.size(); }

    void take_batch()
    {
        batch_taken_at = now();
        batch.resize(watches.size());
        const int n =
            batch.empty() ? 0 : epoll_wait(epoll, batch.data(), static_cast<int>(batch.size()), 0);
        batch.resize(static_cast<std::size_t>(std::max(n, 0)));
        batch_handled = 0;
        batch_repeats = 0;
        batch_left_input = false;
    }

    void handle(const epoll_event& event)
    {
        const auto found = watches.find(static_cast<int>(event.data.u64 & 0xffffffffU));
        if (found != watches.end() && found->second.generation == event.data.u64 >> 32U) {
            const auto fn = found->second.fn;
            (*fn)(event.events);
        }
    }

    void run_events()
    {
        constexpr int events_per_clock_reading = 8;
        const auto end = g_get_monotonic_time() + max_turn_us;
        if (!has_batch()) {
            take_batch();
        }
        for (int n = 1; has_batch(); ++n) {
            const auto event = batch[batch_handled++]; // a copy: handle_again() adds to the batch
            handle(event);
            if (n % events_per_clock_reading == 0 && g_get_monotonic_time() >= end) {
                break;
            }
        }
        if (!has_batch() && !batch_left_input) {
            *read_until = std::max(*read_until, batch_taken_at);
        }
    }
};

poller::poller(GMainContext* context, const clock* time) : state_(std::make_unique<state>())
{
    state_->time = time;
    state_->epoll = epoll_create1(EPOLL_CLOEXEC);
    state_->source = g_source_new(&source_functions, sizeof(epoll_source));
    auto* it = reinterpret_cast<epoll_source*>(state_->source);
    it->owner = this;
    it->prepare = [](poller* self) {
        self->state_->run_deferred();
        self->state_->iteration_began = self->state_->now();
        return self->state_->has_batch();
    };
    it->check = [](poller* self) {
        auto& own = *self->state_;
        const bool ready = g_source_query_unix_fd(own.source, own.epoll_tag) != 0;
        if (!ready) {
            *own.read_until = own.iteration_began; // nothing has arrived since
        }
        return ready;
    };
    it->run_events = [](poller* self) { self->state_->run_events(); };
    state_->epoll_tag = g_source_add_unix_fd(state_->source, state_->epoll, G_IO_IN);
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
    const auto generation = ++state_->generations;
    state_->watches[descriptor] = {generation, std::make_shared<handler>(std::move(fn))};
    epoll_event event{};
    event.events = events;
    event.data.u64 = state::event_key(descriptor, generation);
    epoll_ctl(state_->epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void poller::modify(int descriptor, std::uint32_t events)
{
    const auto found = state_->watches.find(descriptor);
    if (found == state_->watches.end()) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.u64 = state::event_key(descriptor, found->second.generation);
    epoll_ctl(state_->epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void poller::remove(int descriptor)
{
    if (state_->watches.erase(descriptor) != 0) {
        epoll_ctl(state_->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

void poller::defer(std::function<void()> fn)
{
    state_->deferred.push_back(std::move(fn));
}

void poller::handle_again(int descriptor, std::uint32_t events)
{
    const auto found = state_->watches.find(descriptor);
    if (found == state_->watches.end()) {
        return;
    }
    if (++state_->batch_repeats > max_repeats_per_batch) {
        state_->batch_left_input = true; // the next batch brings it
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.u64 = state::event_key(descriptor, found->second.generation);
    state_->batch.push_back(event);
}

std::shared_ptr<const monotonic_time> poller::read_until() const
{
    return state_->read_until;
}

} // namespace cactusloom
