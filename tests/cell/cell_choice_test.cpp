#include "../../src/cell/cell_choice.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <vector>

using namespace cactusloom;

namespace {

// Five cells of a large deployment, each with capacity for a given number of jobs.
struct cells_fixture {
    std::vector<instance_view> holders;
    std::map<std::string, int> room;
    std::map<std::string, int> taken;
    int refusals = 0; // by a cell without capacity
    int unserved = 0; // jobs that no cell accepted

    cells_fixture()
    {
        for (const auto* it : {"a", "b", "c", "d", "e"}) {
            holders.push_back({fmt::format("i-{}", it), it, 1, true, false, {{it, 7, {}}}});
            room[it] = 100;
        }
    }

    void submit(const std::string& id, std::string_view home)
    {
        std::set<std::string> refused_by;
        for (;;) {
            const auto it = choose_cell(holders, {id, home, refused_by, {}});
            if (it.claim == nullptr) {
                ++unserved;
                return;
            }
            if (taken[it.claim->cell] < room[it.claim->cell]) {
                ++taken[it.claim->cell];
                return;
            }
            ++refusals;
            refused_by.insert(it.claim->cell);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cell_choices, cells_fixture)

// Guards against overflow that fills the other cells one after the other, so that each job is
// refused by every full cell first. A burst is 2.5 times the home cell's capacity, and the other
// cells have enough.
BOOST_AUTO_TEST_CASE(overflow_spreads_over_the_other_cells_after_one_refusal)
{
    for (int i = 0; i < 250; ++i) {
        submit(fmt::format("job-{}", i), "c");
    }
    BOOST_TEST(unserved == 0);
    BOOST_TEST(taken["c"] == 100);
    BOOST_TEST(refusals == 150); // one for each job that did not fit into the home cell
    for (const auto* it : {"a", "b", "d", "e"}) {
        BOOST_TEST(taken[it] <= 60); // 150 over four cells, 37.5 each
    }
}

// Guards against a job that is refused although one cell still has capacity.
BOOST_AUTO_TEST_CASE(every_cell_is_tried_before_a_job_is_refused)
{
    room = {{"d", 3}};
    for (int i = 0; i < 4; ++i) {
        submit(fmt::format("job-{}", i), "c");
    }
    BOOST_TEST(taken["d"] == 3);
    BOOST_TEST(unserved == 1);
}

// Guards against a resumed job whose tasks run a second time on the workers of another cell, and
// against a job that is sent to the holder of an older claim.
BOOST_AUTO_TEST_CASE(a_job_with_a_required_cell_goes_to_the_newest_claim_to_it)
{
    const std::set<std::string> none;
    BOOST_TEST(choose_cell(holders, {"job", "c", none, "d"}).claim->cell == "d");
    holders.push_back({"newer", "a", 1, true, false, {{"d", 9, {}}}});
    BOOST_TEST(choose_cell(holders, {"job", "c", none, "d"}).holder->name == "newer");
    holders.push_back({"all", "a", 1, true, false, {{std::string(all_workers_cell), 11, {}}}});
    holders.erase(holders.begin(), holders.begin() + 6);
    BOOST_TEST(choose_cell(holders, {"job", "c", none, "d"}).holder->name == "all");
}

BOOST_AUTO_TEST_SUITE_END()
