#pragma once

#include <cstdint>
#include <functional>
#include <memory>

struct _GMainContext;

namespace cactusloom {

// Watches file descriptors through one epoll set that is a single source of the GLib main loop, so
// that hundreds of sockets cost two system calls per loop iteration.
class poller {
public:
    // Receives the epoll events (EPOLLIN, EPOLLOUT, ...) of one descriptor.
    using handler = std::function<void(std::uint32_t events)>;

    // Uses the default context when `context` is null.
    explicit poller(_GMainContext* context = nullptr);
    ~poller();
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;

    // Starts watching a descriptor that is not watched yet.
    void add(int descriptor, std::uint32_t events, handler fn);

    // Changes the events of a watched descriptor.
    void modify(int descriptor, std::uint32_t events);

    // Stops watching; must be called before the descriptor is closed.
    void remove(int descriptor);

    // Runs `fn` once before the loop blocks again, so that writes of one iteration are batched.
    void defer(std::function<void()> fn);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
