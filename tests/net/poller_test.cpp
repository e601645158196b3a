#include "net/poller.h"

#include "base/glib_timer_service.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <glib.h>
#include <optional>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(event_loop)

// Guards against heartbeats that wait for every request that has arrived.
BOOST_AUTO_TEST_CASE(timers_run_on_time_while_many_sockets_are_ready)
{
    constexpr std::size_t sockets = 100;
    glib_timer_service timers;
    poller events;
    std::array<int, sockets> descriptors{};
    std::array<int, sockets> handled{};
    for (std::size_t i = 0; i < sockets; ++i) {
        descriptors[i] = eventfd(1, EFD_NONBLOCK); // stays ready
        BOOST_REQUIRE(descriptors[i] >= 0);
        events.add(descriptors[i], EPOLLIN, [&handled, i](std::uint32_t) {
            ++handled[i];
            std::this_thread::sleep_for(2ms);
        });
    }
    std::optional<duration> late;
    const auto due = timers.monotonic_now() + 10ms;
    timers.schedule(10ms, [&] { late = timers.monotonic_now() - due; });
    const auto end = timers.monotonic_now() + 2s;
    const auto all_handled = [&] {
        return std::ranges::all_of(handled, [](int n) { return n > 0; });
    };
    while ((!late || !all_handled()) && timers.monotonic_now() < end) {
        g_main_context_iteration(nullptr, FALSE);
    }
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST((*late < 100ms));
    BOOST_TEST(all_handled()); // none is left out
    for (const int it : descriptors) {
        events.remove(it);
        close(it);
    }
}

BOOST_AUTO_TEST_SUITE_END()
