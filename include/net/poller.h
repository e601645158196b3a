#pragma once

#include "base/clock.h"

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

    // Uses the default context when `context` is null. `time` is the clock of read_until(), by
    // default the system's monotonic clock.
    explicit poller(_GMainContext* context = nullptr, const clock* time = nullptr);
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

    // Calls the descriptor's handler again before read_until() advances. For handlers that leave
    // input unread.
    void handle_again(int descriptor, std::uint32_t events);

    // All input that had arrived by this time on the watched descriptors has been handled. The
    // value behind the pointer is updated in each loop iteration, unless input is left over.
    std::shared_ptr<const monotonic_time> read_until() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
