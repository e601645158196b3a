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

// Guards against two claims, or none, when all see the same.
BOOST_AUTO_TEST_CASE(one_instance_claims_a_free_cell)
{
    const std::vector<instance_view> views = {view("a", "x"), view("b", "y"), view("c", "y")};
    int claims = 0;
    for (const auto& it : views) {
        claims += cell_election::decide(all_workers_cell, it.name, views).should_claim ? 1 : 0;
    }
    BOOST_TEST(claims == 1);
}

// Guards against a change of control because a better ranked instance has come back.
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

// Guards against both holders keeping a cell after a cut.
BOOST_AUTO_TEST_CASE(the_highest_token_wins)
{
    const std::string all(all_workers_cell);
    const std::vector<instance_view> views = {view("a", "x", true, {{all, 5}}),
                                              view("b", "y", true, {{all, 9}})};
    BOOST_TEST(cell_election::decide(all_workers_cell, "a", views).controller == "b");
    BOOST_TEST(cell_election::decide(all_workers_cell, "b", views).controller == "b");
}

// Guards against a dead or leaving holder blocking its cell.
BOOST_AUTO_TEST_CASE(claims_of_the_dead_and_the_leaving_do_not_count)
{
    const std::string all(all_workers_cell);
    std::vector<instance_view> views = {view("a", "x"), view("b", "y", false, {{all, 9}})};
    BOOST_TEST(cell_election::decide(all_workers_cell, "a", views).should_claim);
    views[1].alive = true;
    views[1].leaving = true;
    BOOST_TEST(cell_election::decide(all_workers_cell, "a", views).should_claim);
}

// Guards against several instances that are down making the rest take itself for the smaller side
// of a cut (seen while two instances stopped during a cut).
BOOST_AUTO_TEST_CASE(the_smaller_side_sees_no_other_data_centre)
{
    const std::vector<instance_view> isolated = {view("a", "x"), view("b", "x"),
                                                 view("c", "y", false), view("d", "y", false),
                                                 view("e", "z", false)};
    BOOST_TEST(cell_election::is_isolated_data_centre("a", isolated));
    const std::vector<instance_view> few = {view("a", "x"), view("b", "x", false), view("c", "y"),
                                            view("d", "y", false), view("e", "z", false)};
    BOOST_TEST(!cell_election::is_isolated_data_centre("a", few));
    const std::vector<instance_view> single = {view("a", "x"), view("b", "x", false),
                                               view("c", "x", false)};
    BOOST_TEST(!cell_election::is_isolated_data_centre("a", single));
}

// Guards against a late claim to the smaller side's cell once the larger side is in touch again: it
// takes workers from the controller of all.
BOOST_AUTO_TEST_CASE(the_end_of_a_cut_is_a_phase_of_its_own)
{
    using namespace std::chrono_literals;
    using phase = isolation_tracker::phase;
    const monotonic_time start{1s};
    isolation_tracker watch;
    BOOST_TEST((watch.update(false, start) == phase::connected));
    BOOST_TEST((watch.update(true, start + 1s) == phase::isolated));
    BOOST_TEST((watch.update(false, start + 1100ms) == phase::rejoining));
    BOOST_TEST((watch.update(false, start + 1300ms) == phase::rejoining));
    BOOST_TEST((watch.update(false, start + 1400ms) == phase::connected));
    BOOST_TEST((watch.update(true, start + 2s) == phase::isolated));
}

// Guards against a service that stands still because its controller's machine has turned slow.
BOOST_AUTO_TEST_CASE(a_strained_holder_gives_way_to_one_that_is_not_much_weaker)
{
    std::vector<instance_view> views = {view("a", "x", true, {{"*", 5}}), view("b", "x")};
    views[0].overloaded = true;
    BOOST_TEST(cell_election::decide("*", "b", views).should_claim);
    BOOST_TEST(cell_election::decide("*", "a", views).controller.empty());
    views[1].cpu_share = 0.4;
    BOOST_TEST(cell_election::decide("*", "b", views).controller == "a");
    views[1].cpu_share = 1;
    views[1].overloaded = true; // nobody is better off
    BOOST_TEST(cell_election::decide("*", "b", views).controller == "a");
}

// Guards against control that moves at every short pause, or to and fro.
BOOST_AUTO_TEST_CASE(strain_needs_several_late_turns_and_ends_after_a_calm_time)
{
    using namespace std::chrono_literals;
    overload_detector gauge;
    monotonic_time now{1s};
    const auto turn = [&](duration late) {
        now += 50ms + late;
        gauge.add_sample(late, 50ms + late, now);
    };
    turn(2s);
    BOOST_TEST(!gauge.is_overloaded());
    for (int i = 0; i < 20; ++i) {
        turn(5ms);
    }
    BOOST_TEST(!gauge.is_overloaded());
    for (int i = 0; i < 4; ++i) {
        turn(200ms);
    }
    BOOST_TEST(gauge.is_overloaded());
    for (int i = 0; i < 40; ++i) {
        turn(0ms);
    }
    BOOST_TEST(gauge.is_overloaded());
    for (int i = 0; i < 40; ++i) {
        turn(0ms);
    }
    BOOST_TEST(!gauge.is_overloaded());
}

// Guards against both sides of a cut, or neither, being taken for the smaller one, and against
// processes that were killed being taken for machines out of reach.
BOOST_AUTO_TEST_CASE(one_of_two_sides_is_the_smaller)
{
    std::vector<instance_view> views = {view("a", "x"), view("b", "x", false), view("c", "y"),
                                        view("d", "y", false), view("e", "y", false)};
    BOOST_TEST(cell_election::is_in_minority("a", views));
    views[3].connection_refused = true; // its machine answers
    BOOST_TEST(!cell_election::is_in_minority("a", views));
    views[3].connection_refused = false;
    views[3].alive = true;
    BOOST_TEST(!cell_election::is_in_minority("a", views));
    views[3].reply_overdue = true; // about to be given up, a little later than the others
    BOOST_TEST(cell_election::is_in_minority("a", views));
    views[3].reply_overdue = views[3].alive = false;
    views.pop_back(); // two of four on each side
    BOOST_TEST(!cell_election::is_in_minority("a", views));
    for (auto& it : views) {
        it.alive = !it.alive;
    }
    BOOST_TEST(cell_election::is_in_minority("b", views));
    views.resize(2); // the other one of two is rather down
    BOOST_TEST(!cell_election::is_in_minority("b", views));
}

// Guards against single instances that are out of touch being taken for their data centre.
BOOST_AUTO_TEST_CASE(a_data_centre_is_cut_off_only_with_most_of_its_instances)
{
    std::vector<instance_view> views = {view("a", "x"), view("b", "x"), view("c", "x", false),
                                        view("d", "y", false)};
    BOOST_TEST(cell_election::reaches_own_data_centre("a", views));
    views[1].alive = false;
    BOOST_TEST(!cell_election::reaches_own_data_centre("a", views));
    views = {view("a", "x"), view("d", "y", false), view("e", "z", false)};
    BOOST_TEST(
        cell_election::reaches_own_data_centre("a", views)); // the only one of its data centre
}

// Guards against an instance that competes with controllers that it does not see, or that keeps
// its callers waiting meanwhile.
BOOST_AUTO_TEST_CASE(a_fenced_claim_on_the_smaller_side_is_not_repeated_before_the_cut_ends)
{
    using namespace std::chrono_literals;
    minority_tracker watch;
    monotonic_time now{1s};
    watch.update(false, false, now);
    watch.note_fenced(); // settled among those in touch
    BOOST_TEST(!watch.is_fenced());
    watch.update(true, false, now);
    BOOST_TEST(!watch.is_fenced());
    BOOST_TEST(!watch.should_fail_unassigned_jobs(now));
    watch.note_fenced();
    now += 60s;
    watch.update(true, false, now);
    BOOST_TEST(watch.is_fenced());
    BOOST_TEST(watch.should_fail_unassigned_jobs(now));
    watch.update(false, false, now);
    BOOST_TEST(!watch.is_fenced());
    BOOST_TEST(!watch.should_fail_unassigned_jobs(now));
    BOOST_TEST(watch.is_rejoining(now)); // the claims of the other side are not known yet
    now += 1s;
    watch.update(false, false, now);
    BOOST_TEST(!watch.is_rejoining(now));
}

// Guards against jobs that are refused while the controller of a data centre that is cut off is
// just taking over: it claims about 450 ms after the cut, and most callers wait longer.
BOOST_AUTO_TEST_CASE(a_data_centre_that_is_cut_off_keeps_its_jobs_for_its_own_controller)
{
    using namespace std::chrono_literals;
    minority_tracker watch;
    const monotonic_time now{1s};
    watch.update(true, true, now);
    watch.update(true, true, now + 600ms);
    BOOST_TEST(!watch.should_fail_unassigned_jobs(now + 600ms));
    watch.update(true, false, now + 600ms); // most of it is out of touch, too
    BOOST_TEST(watch.should_fail_unassigned_jobs(now + 600ms));
}

BOOST_AUTO_TEST_SUITE_END()
