#include "cell/cell_election.h"

#include "cell/cut_watch.h"
#include "cell/side_watch.h"
#include "cell/strain_gauge.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

namespace {

instance_view view(const std::string& name, const std::string& data_centre, bool alive = true,
                   std::vector<cell_claim> claims = {}, double strength = 1)
{
    return {name, data_centre, strength, alive, false, std::move(claims)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(election)

// Guards against two claims, or none, when all see the same.
BOOST_AUTO_TEST_CASE(one_instance_claims_a_free_cell)
{
    const std::vector<instance_view> views = {view("a", "x"), view("b", "y"), view("c", "y")};
    int claims = 0;
    for (const auto& it : views) {
        claims += cell_election::decide(whole_cell, it.name, views).should_claim ? 1 : 0;
    }
    BOOST_TEST(claims == 1);
}

// Guards against a change of control because a better ranked instance has come back.
BOOST_AUTO_TEST_CASE(a_holder_in_touch_keeps_its_cell)
{
    const std::vector<instance_view> views = {
        view("strong", "x", true, {}, 2), view("weak", "y", true, {{std::string(whole_cell), 7}})};
    const auto verdict = cell_election::decide(whole_cell, "strong", views);
    BOOST_TEST(verdict.controller == "weak");
    BOOST_TEST(!verdict.should_claim);
    BOOST_TEST(verdict.highest_token == 7U);
}

// Guards against both holders keeping a cell after a cut.
BOOST_AUTO_TEST_CASE(the_highest_token_wins)
{
    const std::string all(whole_cell);
    const std::vector<instance_view> views = {view("a", "x", true, {{all, 5}}),
                                              view("b", "y", true, {{all, 9}})};
    BOOST_TEST(cell_election::decide(whole_cell, "a", views).controller == "b");
    BOOST_TEST(cell_election::decide(whole_cell, "b", views).controller == "b");
}

// Guards against a dead or leaving holder blocking its cell.
BOOST_AUTO_TEST_CASE(claims_of_the_dead_and_the_leaving_do_not_count)
{
    const std::string all(whole_cell);
    std::vector<instance_view> views = {view("a", "x"), view("b", "y", false, {{all, 9}})};
    BOOST_TEST(cell_election::decide(whole_cell, "a", views).should_claim);
    views[1].alive = true;
    views[1].leaving = true;
    BOOST_TEST(cell_election::decide(whole_cell, "a", views).should_claim);
}

// Guards against several instances that are down making the rest take itself for the smaller side
// of a cut (seen while two instances stopped during a cut).
BOOST_AUTO_TEST_CASE(the_smaller_side_sees_no_other_data_centre)
{
    const std::vector<instance_view> cut = {view("a", "x"), view("b", "x"), view("c", "y", false),
                                            view("d", "y", false), view("e", "z", false)};
    BOOST_TEST(cell_election::is_minority("a", cut));
    const std::vector<instance_view> few = {view("a", "x"), view("b", "x", false), view("c", "y"),
                                            view("d", "y", false), view("e", "z", false)};
    BOOST_TEST(!cell_election::is_minority("a", few));
    const std::vector<instance_view> single = {view("a", "x"), view("b", "x", false),
                                               view("c", "x", false)};
    BOOST_TEST(!cell_election::is_minority("a", single));
}

// Guards against a late claim to the smaller side's cell once the larger side is in touch again: it
// takes workers from the controller of all.
BOOST_AUTO_TEST_CASE(the_end_of_a_cut_is_a_phase_of_its_own)
{
    using namespace std::chrono_literals;
    using phase = cut_watch::phase;
    const monotonic_time start{1s};
    cut_watch watch;
    BOOST_TEST((watch.update(false, start) == phase::whole));
    BOOST_TEST((watch.update(true, start + 1s) == phase::cut));
    BOOST_TEST((watch.update(false, start + 1100ms) == phase::ending));
    BOOST_TEST((watch.update(false, start + 1300ms) == phase::ending));
    BOOST_TEST((watch.update(false, start + 1400ms) == phase::whole));
    BOOST_TEST((watch.update(true, start + 2s) == phase::cut));
}

// Guards against a service that stands still because its controller's machine has turned slow.
BOOST_AUTO_TEST_CASE(a_strained_holder_gives_way_to_one_that_is_not_much_weaker)
{
    std::vector<instance_view> views = {view("a", "x", true, {{"*", 5}}), view("b", "x")};
    views[0].strained = true;
    BOOST_TEST(cell_election::decide("*", "b", views).should_claim);
    BOOST_TEST(cell_election::decide("*", "a", views).controller.empty());
    views[1].strength = 0.4;
    BOOST_TEST(cell_election::decide("*", "b", views).controller == "a");
    views[1].strength = 1;
    views[1].strained = true; // nobody is better off
    BOOST_TEST(cell_election::decide("*", "b", views).controller == "a");
}

// Guards against control that moves at every short pause, or to and fro.
BOOST_AUTO_TEST_CASE(strain_needs_several_late_turns_and_ends_after_a_calm_time)
{
    using namespace std::chrono_literals;
    strain_gauge gauge;
    monotonic_time now{1s};
    const auto turn = [&](duration late) {
        now += 50ms + late;
        gauge.note(late, 50ms + late, now);
    };
    turn(2s);
    BOOST_TEST(!gauge.is_strained());
    for (int i = 0; i < 20; ++i) {
        turn(5ms);
    }
    BOOST_TEST(!gauge.is_strained());
    for (int i = 0; i < 4; ++i) {
        turn(200ms);
    }
    BOOST_TEST(gauge.is_strained());
    for (int i = 0; i < 40; ++i) {
        turn(0ms);
    }
    BOOST_TEST(gauge.is_strained());
    for (int i = 0; i < 40; ++i) {
        turn(0ms);
    }
    BOOST_TEST(!gauge.is_strained());
}

// Guards against both sides of a cut, or neither, being taken for the smaller one, and against
// processes that were killed being taken for machines out of reach.
BOOST_AUTO_TEST_CASE(one_of_two_sides_is_the_smaller)
{
    std::vector<instance_view> views = {view("a", "x"), view("b", "x", false), view("c", "y"),
                                        view("d", "y", false), view("e", "y", false)};
    BOOST_TEST(cell_election::is_smaller_side("a", views));
    views[3].refused = true; // its machine answers
    BOOST_TEST(!cell_election::is_smaller_side("a", views));
    views[3].refused = false;
    views[3].alive = true;
    BOOST_TEST(!cell_election::is_smaller_side("a", views));
    views[3].owes_reply = true; // about to be given up, a little later than the others
    BOOST_TEST(cell_election::is_smaller_side("a", views));
    views[3].owes_reply = views[3].alive = false;
    views.pop_back(); // two of four on each side
    BOOST_TEST(!cell_election::is_smaller_side("a", views));
    for (auto& it : views) {
        it.alive = !it.alive;
    }
    BOOST_TEST(cell_election::is_smaller_side("b", views));
    views.resize(2); // the other one of two is rather down
    BOOST_TEST(!cell_election::is_smaller_side("b", views));
}

// Guards against single instances that are out of touch being taken for their data centre.
BOOST_AUTO_TEST_CASE(a_data_centre_is_cut_off_only_with_most_of_its_instances)
{
    std::vector<instance_view> views = {view("a", "x"), view("b", "x"), view("c", "x", false),
                                        view("d", "y", false)};
    BOOST_TEST(cell_election::reaches_home("a", views));
    views[1].alive = false;
    BOOST_TEST(!cell_election::reaches_home("a", views));
    views = {view("a", "x"), view("d", "y", false), view("e", "z", false)};
    BOOST_TEST(cell_election::reaches_home("a", views)); // the only one of its data centre
}

// Guards against an instance that competes with controllers that it does not see, or that keeps
// its callers waiting meanwhile.
BOOST_AUTO_TEST_CASE(a_fenced_claim_on_the_smaller_side_is_not_repeated_before_the_cut_ends)
{
    using namespace std::chrono_literals;
    side_watch watch;
    monotonic_time now{1s};
    watch.update(false, false, now);
    watch.note_fenced(); // settled among those in touch
    BOOST_TEST(!watch.is_fenced());
    watch.update(true, false, now);
    BOOST_TEST(!watch.is_fenced());
    BOOST_TEST(!watch.is_hopeless(now));
    watch.note_fenced();
    now += 60s;
    watch.update(true, false, now);
    BOOST_TEST(watch.is_fenced());
    BOOST_TEST(watch.is_hopeless(now));
    watch.update(false, false, now);
    BOOST_TEST(!watch.is_fenced());
    BOOST_TEST(!watch.is_hopeless(now));
    BOOST_TEST(watch.is_ending(now)); // the claims of the other side are not known yet
    now += 1s;
    watch.update(false, false, now);
    BOOST_TEST(!watch.is_ending(now));
}

// Guards against jobs that are refused while the controller of a data centre that is cut off is
// just taking over: it claims about 450 ms after the cut, and most callers wait longer.
BOOST_AUTO_TEST_CASE(a_data_centre_that_is_cut_off_keeps_its_jobs_for_its_own_controller)
{
    using namespace std::chrono_literals;
    side_watch watch;
    const monotonic_time now{1s};
    watch.update(true, true, now);
    watch.update(true, true, now + 600ms);
    BOOST_TEST(!watch.is_hopeless(now + 600ms));
    watch.update(true, false, now + 600ms); // most of it is out of touch, too
    BOOST_TEST(watch.is_hopeless(now + 600ms));
}

BOOST_AUTO_TEST_SUITE_END()
