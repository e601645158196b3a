#include "soak.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// CACTUSLOOM_SOAK_SEEDS="first-last" selects the seeds, CACTUSLOOM_SOAK_SECONDS the length of each.
std::pair<std::uint32_t, std::uint32_t> seeds()
{
    std::uint32_t first = 1;
    std::uint32_t last = 1;
    if (const char* text = std::getenv("CACTUSLOOM_SOAK_SEEDS")) {
        char* rest = nullptr;
        first = static_cast<std::uint32_t>(std::strtoul(text, &rest, 10));
        last =
            *rest == '-' ? static_cast<std::uint32_t>(std::strtoul(rest + 1, nullptr, 10)) : first;
    }
    return {first, last};
}

duration length()
{
    const char* text = std::getenv("CACTUSLOOM_SOAK_SECONDS");
    return std::chrono::seconds{text == nullptr ? 10 : std::strtol(text, nullptr, 10)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_soak)

// Guards against tasks that run twice, starts beyond a worker's capacity, "not run" replies for
// tasks that ran, a service that does not recover and configurations that are not applied, under
// overlapping faults of real processes.
BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    const auto [first, last] = seeds();
    for (auto seed = first; seed <= last; ++seed) {
        soak run(seed);
        const auto violations = run.run_faults(length());
        BOOST_TEST_MESSAGE("seed " << seed << ": " << run.sent() << " sent, " << run.completed()
                                   << " completed, " << run.refused() << " refused, "
                                   << run.unknown() << " unknown");
        for (const auto& it : violations) {
            BOOST_ERROR("seed " << seed << ": " << it);
        }
        BOOST_TEST(violations.empty());
        BOOST_TEST(run.completed() > 0U);
    }
}

// Seeds that failed in the past.
BOOST_AUTO_TEST_CASE(former_failures_stay_fixed)
{
    // 117: SIGHUP ended a process between its start and the first iteration of its event loop.
    for (const std::uint32_t seed : {117U}) {
        soak run(seed, soak::fault_set::without_network);
        for (const auto& it : run.run_faults(10s)) {
            BOOST_ERROR("seed " << seed << ": " << it);
        }
        BOOST_TEST(run.completed() > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
