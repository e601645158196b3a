#include "base/glib_timer_service.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <glib.h>
#include <vector>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(timers)

// Guards against timers that run in order of scheduling instead of due time.
BOOST_AUTO_TEST_CASE(callbacks_run_in_order_of_due_time)
{
    virtual_timer_service timers;
    std::vector<int> ran;
    timers.schedule(20ms, [&] { ran.push_back(2); });
    timers.schedule(10ms, [&] { ran.push_back(1); });
    timers.schedule(20ms, [&] { ran.push_back(3); });
    timers.advance(20ms);
    const std::vector<int> expected{1, 2, 3};
    BOOST_TEST(ran == expected, boost::test_tools::per_element());
}

// Guards against a cancelled timer that still runs.
BOOST_AUTO_TEST_CASE(cancelled_callback_does_not_run)
{
    virtual_timer_service timers;
    bool ran = false;
    const auto id = timers.schedule(1ms, [&] { ran = true; });
    timers.cancel(id);
    timers.advance(10ms);
    BOOST_TEST(!ran);
}

// Guards against a loop that does not wake up for a timer scheduled inside a callback.
BOOST_AUTO_TEST_CASE(glib_service_runs_nested_timers)
{
    GMainContext* context = g_main_context_new();
    {
        glib_timer_service timers(context);
        int ran = 0;
        timers.schedule(1ms, [&] {
            ++ran;
            timers.schedule(1ms, [&] { ++ran; });
        });
        while (ran < 2) {
            g_main_context_iteration(context, TRUE);
        }
        BOOST_TEST(ran == 2);
    }
    g_main_context_unref(context);
}

BOOST_AUTO_TEST_SUITE_END()
