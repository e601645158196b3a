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

// CACTUSLOOM_SOAK_INSTANCES and CACTUSLOOM_SOAK_WORKERS set the size of runs with several cells.
int size_of(const char* variable, int otherwise)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : static_cast<int>(std::strtol(text, nullptr, 10));
}

void run_seeds(soak_layout layout)
{
    const auto [first, last] = seeds();
    for (auto seed = first; seed <= last; ++seed) {
        soak run(seed, soak::fault_set::all, layout);
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

} // namespace

BOOST_AUTO_TEST_SUITE(fault_soak)

// Guards against tasks that run twice, starts beyond a worker's capacity, "not run" replies for
// tasks that ran, a service that does not recover and configurations that are not applied, under
// overlapping faults of real processes.
BOOST_AUTO_TEST_CASE(guarantees_hold_under_random_faults)
{
    run_seeds({});
}

// Guards against the same where a caller's next submission reaches a controller that knows nothing
// of the first: several cells, with callers that leave, return elsewhere and cancel. Also against
// jobs that fail without cause and cancelled jobs that run.
BOOST_AUTO_TEST_CASE(guarantees_hold_over_several_cells)
{
    run_seeds({size_of("CACTUSLOOM_SOAK_INSTANCES", 6), size_of("CACTUSLOOM_SOAK_WORKERS", 130), 2,
               true});
}

// Guards against the same where processes renew leases before they read that callers have left.
BOOST_AUTO_TEST_CASE(guarantees_hold_for_processes_in_slices)
{
    soak_layout layout{size_of("CACTUSLOOM_SOAK_INSTANCES", 6),
                       size_of("CACTUSLOOM_SOAK_WORKERS", 130), 2, true};
    layout.instances_in_slices = true;
    run_seeds(layout);
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
