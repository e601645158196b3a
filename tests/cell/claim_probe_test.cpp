#include "cell/claim_probe.h"

#include "cell_fixture.h"

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

struct probe_fixture : cell_fixture {
    std::optional<claim_probe::probe_result> found;
    std::uint64_t token = 0;

    std::unique_ptr<claim_probe> probe(std::uint64_t first_token)
    {
        return std::make_unique<claim_probe>(
            timers, fleet, std::vector{fleet.reports().at(0), fleet.reports().at(1)}, first_token,
            [this](claim_probe::probe_result result, std::uint64_t used) {
                found = result;
                token = used;
            });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(probes, probe_fixture)

// Guards against workers that no instance takes over after all others have lost power.
BOOST_AUTO_TEST_CASE(workers_of_a_lost_controller_are_unclaimed)
{
    add_workers(4);
    take_control(7);
    controller.reset();
    const auto it = probe(8);
    timers.advance(1s);
    BOOST_TEST((found == claim_probe::probe_result::unclaimed));
    BOOST_TEST(token == 8U);
}

// Guards against a probe that stops below a token which an earlier controller has raised far ahead.
BOOST_AUTO_TEST_CASE(the_token_is_raised_until_the_workers_accept_it)
{
    add_workers(4);
    constexpr std::uint64_t raised = 20'000'000;
    take_control(raised);
    controller.reset();
    const auto it = probe(1);
    timers.advance(1s);
    BOOST_TEST((found == claim_probe::probe_result::unclaimed));
    BOOST_TEST(token > raised);
}

// Guards against jobs being interrupted because another part of the deployment, without contact to
// theirs, claims their workers.
BOOST_AUTO_TEST_CASE(a_live_controller_is_detected_and_loses_no_run)
{
    add_workers(4);
    fleet.work = [](const std::string&) { return duration{900ms}; };
    take_control(7);
    controller->on_fenced = [this] { // as an instance does that sees no other claim
        timers.schedule(200ms, [this] { controller->claim(1000); });
    };
    submit(job("j", 8, 900ms));
    timers.advance(100ms);
    const auto it = probe(8);
    timers.advance(1s);
    BOOST_TEST((found == claim_probe::probe_result::claimed_elsewhere));
    BOOST_TEST(ended("j", job_end::completed));
    BOOST_TEST(fleet.total_starts() == 8U);
    check_no_violation();
}

BOOST_AUTO_TEST_SUITE_END()
