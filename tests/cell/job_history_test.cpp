#include "cell/job_history.h"

#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(job_histories)

// Guards against a history that leaves out by which way a job came and where it ran.
BOOST_AUTO_TEST_CASE(the_events_of_a_job_are_told_in_order_with_their_age)
{
    virtual_timer_service timers;
    job_history history(timers);
    history.add(job_event::accepted, "ab35cb5c38bd3b1d", "edge-b-1", 3);
    timers.advance(20ms);
    history.add(job_event::started, "other", "w1", 1);
    history.add(job_event::started, "ab35cb5c38bd3b1d", "w2", 1);
    timers.advance(5ms);
    BOOST_TEST(history.events_of("ab35cb5c38bd3b1d") == "-25 accepted edge-b-1#3; -5 started w2#1");
    BOOST_TEST(history.events_of("unknown").empty());
}

// Guards against a history that grows without a bound, or that keeps the oldest events.
BOOST_AUTO_TEST_CASE(the_newest_events_are_kept)
{
    virtual_timer_service timers;
    job_history history(timers);
    for (std::uint32_t i = 0; i < 10000; ++i) {
        history.add(job_event::started, fmt::format("j{}", i), "w", i);
    }
    BOOST_TEST(history.events_of("j0").empty());
    BOOST_TEST(!history.events_of("j9999").empty());
}

BOOST_AUTO_TEST_SUITE_END()
