#include "net/poller.h"

#include "base/glib_timer_service.h"
#include "net/tcp_stream.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <glib.h>
#include <optional>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
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

// Guards against a process that takes what waits unread for read.
BOOST_AUTO_TEST_CASE(the_time_of_reading_stands_still_while_input_is_left)
{
    glib_timer_service timers;
    poller events;
    bool reads = true;
    const int descriptor = eventfd(1, EFD_NONBLOCK);
    events.add(descriptor, EPOLLIN, [&](std::uint32_t ready) {
        std::uint64_t value = 0;
        if (!reads || read(descriptor, &value, sizeof(value)) < 0) {
            events.handle_again(descriptor, ready);
        }
    });
    const auto run_for = [&](duration span) {
        for (const auto end = timers.monotonic_now() + span; timers.monotonic_now() < end;) {
            g_main_context_iteration(nullptr, FALSE);
        }
    };
    const auto read_until = events.read_until();
    run_for(50ms);
    BOOST_TEST((timers.monotonic_now() - *read_until < 50ms));
    reads = false;
    const std::uint64_t one = 1;
    BOOST_REQUIRE(write(descriptor, &one, sizeof(one)) == sizeof(one));
    const auto left_at = timers.monotonic_now();
    run_for(100ms);
    BOOST_TEST((*read_until <= left_at));
    reads = true;
    run_for(50ms);
    BOOST_TEST((*read_until > left_at));
    events.remove(descriptor);
    close(descriptor);
}

// Guards against an end of a connection that is read an iteration after its last data.
BOOST_AUTO_TEST_CASE(the_end_of_an_accepted_connection_is_read_with_its_last_data)
{
    poller events;
    std::array<int, 2> ends{};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    const auto stream = tcp_stream::adopt(events, ends[0]);
    std::string received;
    bool closed = false;
    stream->on_data = [&](std::string_view data) {
        received += data;
        stream->write("answer");
    };
    stream->on_closed = [&] { closed = true; };
    BOOST_REQUIRE(write(ends[1], "last", 4) == 4);
    shutdown(ends[1], SHUT_WR);
    g_main_context_iteration(nullptr, FALSE);
    BOOST_TEST(received == "last");
    BOOST_TEST(closed);
    std::array<char, 16> answer{};
    BOOST_TEST(read(ends[1], answer.data(), answer.size()) == 6);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()
