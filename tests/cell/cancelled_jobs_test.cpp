#include "cell/cancelled_jobs.h"

#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(cancellations)

// Guards against a memory that grows with the number of cancellations.
BOOST_AUTO_TEST_CASE(ids_are_forgotten_after_their_time_and_beyond_the_bound)
{
    virtual_timer_service timers;
    cancelled_jobs jobs(timers);
    BOOST_TEST(jobs.add("first", true));
    BOOST_TEST(!jobs.add("first", false));
    timers.advance(1min);
    for (std::size_t i = 0; i < cancelled_jobs::max_ids; ++i) {
        jobs.add(fmt::format("j{}", i), i % 2 == 0);
    }
    BOOST_TEST(jobs.size() == cancelled_jobs::max_ids);
    BOOST_TEST(!jobs.contains("first"));
    BOOST_TEST(jobs.contains("j0"));
    BOOST_TEST(jobs.acknowledged_here().size() == cancelled_jobs::max_passed_on);
    BOOST_TEST(jobs.acknowledged_here().front() == "j49998");
    timers.advance(2min + 1s);
    jobs.add("last", true);
    BOOST_TEST(jobs.size() == 1U);
    BOOST_TEST(jobs.contains("last"));
}

BOOST_AUTO_TEST_SUITE_END()
