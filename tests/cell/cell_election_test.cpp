#include "cell/cell_election.h"

#include "cell/isolation_tracker.h"
#include "cell/minority_tracker.h"
#include "cell/overload_detector.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

namespace {

instance_view view(const std::string& name, const std::string& data_centre, bool alive = true,
                   std::vector<cell_claim> claims = {}, double cpu_share = 1)
{
    return {name, data_centre, cpu_share, alive, false, std::move(claims)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(election)

// Guards against several claims, or none, when all instances have the same view.
BOOST_AUTO_TEST_CASE(one_instance_claims_a_free_cell)
{
    const std::vector<instance_view> views = {view("a", "x"), view("b", "y"), view("c", "y")};
    int claims = 0;
    for (const auto& it : views) {
        claims += cell_election::decide(all_workers_cell, it.name, views).should_claim ? 1 : 0;
    }
    BOOST_TEST(claims == 1);
}

// Guards against a change of control because a better ranked instance has returned.
BOOST_AUTO_TEST_CASE(a_holder_in_touch_keeps_its_cell)
{
    const std::vector<instance_view> views = {
        view("strong", "x", true, {}, 2),
        view("weak", "y", true, {{std::string(all_workers_cell), 7}})};
    const auto decision = cell_election::decide(all_workers_cell, "strong", views);
    BOOST_TEST(decision.controller == "weak");
    BOOST_TEST(!decision.should_claim);
    BOOST_TEST(decision.highest_token == 7U);
}

// Guards against both holders keeping a cell after a partition.
BOOST_AUTO_TEST_CASE(the_highest_token_wins)
{
    const std::string all(all_workers_cell);
    const std::vector<instance_view> views = {view("a", "x", true, {{all, 5}}),
                                              view("b", "y", true, {{all, 9}})};
    BOOST_TEST(cell_election::decide(all_workers_cell, "a", views).controller == "b");
    BOOST_TEST(cell_election::decide(all_workers_cell, "b", views).controller == "b");
}

// Guards against a dead or leaving holder that blocks its cell.
BOOST_AUTO_TEST_CASE(claims_of_the_dead_and_the_leaving_do_not_count)
{
    const std::string all(all_workers_cell);
    std::vector<instance_view> views = {view("a", "x"), view("b", "y", false, {{all, 9}})};
    BOOST_TEST(cell_election::decide(all_workers_cell, "a", views).should_claim);
    views[1].alive = true;
    views[1].leaving = true;
    BOOST_TEST(cell_election::decide(all_workers_cell, "a", views).should_claim);
}

// Guards against several instances that are down making the rest count as an isolated data centre
// (observed while two instances stopped during a partition).
BOOST_AUTO_TEST_CASE(an_isolated_data_centre_sees_no_other_data_centre)
{
    const std::vector<instance_view> isolated = {view("a", "x"), view("b", "x"),
                                                 view("c", "y", false), view("d", "y", false),
                                                 view("e", "z", false)};
    BOOST_TEST(cell_election::is_isolated_data_centre("a", isolated));
    const std::vector<instance_view> partly_connected = {view("a", "x"), view("b", "x", false),
                                                         view("c", "y"), view("d", "y", false),
                                                         view("e", "z", false)};
    BOOST_TEST(!cell_election::is_isolated_data_centre("a", partly_connected));
    const std::vector<instance_view> single_data_centre = {view("a", "x"), view("b", "x", false),
                                                           view("c", "x", false)};
    BOOST_TEST(!cell_election::is_isolated_data_centre("a", single_data_centre));
}

// Guards against a late claim to an isolated data centre's cell once the other side is in contact
// again: it would take workers from the controller of all.
BOOST_AUTO_TEST_CASE(the_end_of_a_partition_is_a_separate_phase)
{
    using namespace std::chrono_literals;
    using phase = isolation_tracker::phase;
    const monotonic_time start{1s};
    isolation_tracker tracker;
    BOOST_TEST((tracker.update(false, start) == phase::connected));
    BOOST_TEST((tracker.update(true, start + 1s) == phase::isolated));
    BOOST_TEST((tracker.update(false, start + 1100ms) == phase::rejoining));
    BOOST_TEST((tracker.update(false, start + 1300ms) == phase::rejoining));
    BOOST_TEST((tracker.update(false, start + 1400ms) == phase::connected));
    BOOST_TEST((tracker.update(true, start + 2s) == phase::isolated));
}

// Guards against a stalled service because the controller's machine has become slow.
BOOST_AUTO_TEST_CASE(an_overloaded_holder_yields_to_an_instance_that_is_not_much_weaker)
{
    std::vector<instance_view> views = {view("a", "x", true, {{"*", 5}}), view("b", "x")};
    views[0].overloaded = true;
    BOOST_TEST(cell_election::decide("*", "b", views).should_claim);
    BOOST_TEST(cell_election::decide("*", "a", views).controller.empty());
    views[1].cpu_share = 0.4;
    BOOST_TEST(cell_election::decide("*", "b", views).controller == "a");
    views[1].cpu_share = 1;
    views[1].overloaded = true; // no instance is better off
    BOOST_TEST(cell_election::decide("*", "b", views).controller == "a");
}

// Guards against control that moves on and on while traffic is the cause of the overload.
BOOST_AUTO_TEST_CASE(an_overloaded_holder_that_has_just_taken_over_keeps_its_cell)
{
    std::vector<instance_view> views = {
        view("first", "x", true, {{std::string(all_workers_cell), 7}}), view("second", "x")};
    views[0].overloaded = true;
    views[0].keeps_cells = true;
    BOOST_TEST(cell_election::decide(all_workers_cell, "first", views).controller == "first");
    BOOST_TEST(!cell_election::decide(all_workers_cell, "second", views).should_claim);
    views[0].keeps_cells = false;
    BOOST_TEST(cell_election::decide(all_workers_cell, "second", views).should_claim);
}

// Guards against control that moves at every short pause, or back and forth.
BOOST_AUTO_TEST_CASE(overload_needs_several_late_ticks_and_ends_after_a_recovery_time)
{
    using namespace std::chrono_literals;
    overload_detector detector;
    monotonic_time now{1s};
    const auto tick = [&](duration late) {
        now += 50ms + late;
        detector.add_sample(late, 50ms + late, now);
    };
    tick(2s);
    BOOST_TEST(!detector.is_overloaded());
    for (int i = 0; i < 20; ++i) {
        tick(5ms);
    }
    BOOST_TEST(!detector.is_overloaded());
    for (int i = 0; i < 4; ++i) {
        tick(200ms);
    }
    BOOST_TEST(detector.is_overloaded());
    for (int i = 0; i < 40; ++i) {
        tick(0ms);
    }
    BOOST_TEST(detector.is_overloaded());
    for (int i = 0; i < 40; ++i) {
        tick(0ms);
    }
    BOOST_TEST(!detector.is_overloaded());
}

// Guards against both sides of a partition, or neither, counting as the minority, and against
// killed processes counting as unreachable machines.
BOOST_AUTO_TEST_CASE(exactly_one_of_two_sides_is_the_minority)
{
    std::vector<instance_view> views = {view("a", "x"), view("b", "x", false), view("c", "y"),
                                        view("d", "y", false), view("e", "y", false)};
    BOOST_TEST(cell_election::is_in_minority("a", views));
    views[3].connection_refused = true; // its machine refuses connections, so it is reachable
    BOOST_TEST(!cell_election::is_in_minority("a", views));
    views[3].connection_refused = false;
    views[3].alive = true;
    BOOST_TEST(!cell_election::is_in_minority("a", views));
    views[3].reply_overdue = true; // about to be dropped, a little later than the others
    BOOST_TEST(cell_election::is_in_minority("a", views));
    views[3].reply_overdue = views[3].alive = false;
    views.pop_back(); // two of four on each side
    BOOST_TEST(!cell_election::is_in_minority("a", views));
    for (auto& it : views) {
        it.alive = !it.alive;
    }
    BOOST_TEST(cell_election::is_in_minority("b", views));
    views.resize(2); // with two instances, the other one is more likely down
    BOOST_TEST(!cell_election::is_in_minority("b", views));
}

// Guards against a few unreachable instances counting as an isolated data centre.
BOOST_AUTO_TEST_CASE(a_data_centre_is_isolated_only_with_most_of_its_instances)
{
    std::vector<instance_view> views = {view("a", "x"), view("b", "x"), view("c", "x", false),
                                        view("d", "y", false)};
    BOOST_TEST(cell_election::reaches_own_data_centre("a", views));
    views[1].alive = false;
    BOOST_TEST(!cell_election::reaches_own_data_centre("a", views));
    views = {view("a", "x"), view("d", "y", false), view("e", "z", false)};
    // The only instance of its data centre.
    BOOST_TEST(cell_election::reaches_own_data_centre("a", views));
}

// Guards against an instance that competes with controllers it does not see, or that keeps its
// callers waiting meanwhile.
BOOST_AUTO_TEST_CASE(a_fenced_claim_of_a_minority_is_not_repeated_before_the_partition_ends)
{
    using namespace std::chrono_literals;
    minority_tracker tracker;
    monotonic_time now{1s};
    tracker.update(false, false, now);
    tracker.note_fenced(); // not in a minority: the election resolves it
    BOOST_TEST(!tracker.is_fenced());
    tracker.update(true, false, now);
    BOOST_TEST(!tracker.is_fenced());
    BOOST_TEST(!tracker.should_fail_unassigned_jobs(now));
    tracker.note_fenced();
    now += 60s;
    tracker.update(true, false, now);
    BOOST_TEST(tracker.is_fenced());
    BOOST_TEST(tracker.should_fail_unassigned_jobs(now));
    tracker.update(false, false, now);
    BOOST_TEST(!tracker.is_fenced());
    BOOST_TEST(!tracker.should_fail_unassigned_jobs(now));
    BOOST_TEST(tracker.is_rejoining(now)); // the claims of the other side are not known yet
    now += 1s;
    tracker.update(false, false, now);
    BOOST_TEST(!tracker.is_rejoining(now));
}

// Guards against jobs being refused while the controller of an isolated data centre is about to
// take over: it claims about 450 ms after the start of the partition, and most callers wait longer.
BOOST_AUTO_TEST_CASE(an_isolated_data_centre_keeps_its_jobs_for_its_own_controller)
{
    using namespace std::chrono_literals;
    minority_tracker tracker;
    const monotonic_time now{1s};
    tracker.update(true, true, now);
    tracker.update(true, true, now + 600ms);
    BOOST_TEST(!tracker.should_fail_unassigned_jobs(now + 600ms));
    // Most of the data centre itself is out of contact, too.
    tracker.update(true, false, now + 600ms);
    BOOST_TEST(tracker.should_fail_unassigned_jobs(now + 600ms));
}

BOOST_AUTO_TEST_SUITE_END()
