#include "../../src/cell/demand_meter.h"
#include "../../src/cell/worker_speed.h"
#include "cell/run_time_estimator.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(run_times)

// Guards against predictions by the label of a replaced worker that runs at another kind's speed,
// and against a worker that is told apart by a few long tasks.
BOOST_AUTO_TEST_CASE(a_worker_differs_from_its_kind_after_enough_runs)
{
    worker_speed speed;
    for (int i = 0; i < 4; ++i) {
        speed.learn(std::log(0.7));
    }
    BOOST_TEST(speed.factor(1.7) == 1.7);
    for (int i = 0; i < 20; ++i) {
        speed.learn(std::log(0.7));
    }
    BOOST_TEST(speed.differs_from(1.7));
    BOOST_TEST(speed.factor(1.7) == 0.7, boost::test_tools::tolerance(0.01));
    BOOST_TEST(!speed.differs_from(0.8));
    BOOST_TEST(speed.factor(0.8) == 0.8);
}

// Guards against a measured kind factor that samples of single workers outweigh.
BOOST_AUTO_TEST_CASE(a_set_kind_factor_is_used_at_once)
{
    run_time_estimator times;
    BOOST_TEST(times.kind_factor("slow") == 1.0);
    times.set_kind_factor("slow", std::log(1.7));
    BOOST_TEST(times.kind_factor("slow") == 1.7, boost::test_tools::tolerance(0.01));
}

// Guards against a chance that does not fall with the time left or ignores the measured spread.
BOOST_AUTO_TEST_CASE(the_chance_follows_the_spread_of_earlier_predictions)
{
    run_time_estimator times;
    BOOST_TEST(times.chance(100ms, 0ms) == 0.0);
    BOOST_TEST(times.chance(100ms, 100ms) == 0.5, boost::test_tools::tolerance(0.01));
    BOOST_TEST(times.chance(100ms, 200ms) > 0.95);
    const auto before = times.chance(100ms, 150ms);
    for (int i = 0; i < 100; ++i) {
        times.learn("queue", "kind", 100ms, i % 2 == 0 ? 50ms : 200ms);
    }
    BOOST_TEST(times.spread() > 0.5);
    BOOST_TEST(times.chance(100ms, 150ms) < before);
}

// Guards against an overload that is noticed late, or that is still assumed long after it.
BOOST_AUTO_TEST_CASE(the_rate_of_arriving_work_follows_the_last_seconds)
{
    demand_meter meter;
    monotonic_time now{10s};
    for (int i = 0; i < 300; ++i, now += 10ms) {
        meter.record(20000, now); // 20 ms of one core each 10 ms
    }
    BOOST_TEST(meter.rate(now) == 2.0, boost::test_tools::tolerance(0.1));
    BOOST_TEST(meter.rate(now + 5s) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()
