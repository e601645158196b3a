#pragma once

#include <cstdint>
#include <functional>
#include <memory>

struct _GMainContext;

namespace cactusloom {

// Watches descriptors through one epoll set that the GLib loop polls as a single source. A set of
// hundreds of sockets then costs the loop two system calls a turn.
class poller {
public:
    // Receives the epoll events (EPOLLIN, EPOLLOUT, ...) of one descriptor.
    using handler = std::function<void(std::uint32_t events)>;

    // Uses the default context when `context` is null.
    explicit poller(_GMainContext* context = nullptr);
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

    // Starts to watch. The descriptor must not be watched already.
    void add(int descriptor, std::uint32_t events, handler fn);

    // Changes the events of a watched descriptor.
    void modify(int descriptor, std::uint32_t events);

    // Stops to watch; call before the descriptor is closed.
    void remove(int descriptor);

    // Runs `fn` once before the loop waits again, so that writes of one turn go out together.
    void defer(std::function<void()> fn);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
