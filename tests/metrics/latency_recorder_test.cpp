#include "metrics/latency_recorder.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against quantiles that deviate from the samples by more than 5 %, the difference that an
// operator can see on a chart.
BOOST_AUTO_TEST_CASE(quantiles_follow_the_samples)
{
    latency_recorder latency;
    for (int n = 0; n < 5000; ++n) {
        latency.record(duration{(n * 7919) % 1000 + 1});
    }
    const auto found = latency.read();
    BOOST_TEST(found.count == 5000U);
    BOOST_TEST(static_cast<double>(found.p50.count()) == 500.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(static_cast<double>(found.p90.count()) == 900.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(static_cast<double>(found.p99.count()) == 990.0, boost::test_tools::tolerance(0.05));
}

// Guards against old samples (an hour ago) that hide a change of the latency.
BOOST_AUTO_TEST_CASE(old_samples_are_forgotten)
{
    latency_recorder latency;
    for (int n = 0; n < 20000; ++n) {
        latency.record(1ms);
    }
    for (int n = 0; n < 20000; ++n) {
        latency.record(100ms);
    }
    BOOST_TEST(latency.read().p50.count() > 90'000);
}

BOOST_AUTO_TEST_SUITE_END()
