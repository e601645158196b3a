#include "cell/control_candidates.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <vector>

using namespace cactusloom;

namespace {

// Data centres "a" to "e" with `each` instances, every third of them with a large CPU share.
std::vector<instance_view> fleet(int each)
{
    std::vector<instance_view> out;
    for (char data_centre = 'a'; data_centre <= 'e'; ++data_centre) {
        for (int i = 0; i < each; ++i) {
            out.push_back({fmt::format("{}{}", data_centre, i),
                           std::string(1, data_centre),
                           i % 3 == 0 ? 0.5 : 0.09,
                           true,
                           false,
                           {}});
        }
    }
    return out;
}

instance_view& member(std::vector<instance_view>& views, const std::string& name)
{
    return *std::ranges::find(views, name, &instance_view::name);
}

std::size_t count_of(const std::set<std::string, std::less<>>& names, char data_centre)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(names, [=](const auto& it) { return it[0] == data_centre; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(candidates)

// Guards against a fixed share of the instances reading all workers: the load on the platform's
// store would grow with instances times workers.
BOOST_AUTO_TEST_CASE(the_number_of_candidates_does_not_grow_with_the_instances)
{
    BOOST_TEST(control_candidates(fleet(2)).size() == 10U); // few: all of them
    BOOST_TEST(control_candidates(fleet(6)).size() == 15U);
    BOOST_TEST(control_candidates(fleet(200)).size() == 15U);
}

// Guards against control by the weakest instances.
BOOST_AUTO_TEST_CASE(the_strongest_of_each_data_centre_come_first)
{
    auto views = fleet(9);
    for (const auto& name : control_candidates(views)) {
        BOOST_TEST(member(views, name).cpu_share == 0.5);
    }
}

// Guards against a deployment without a controller because all candidates are lost; any number of
// instances may be. Each round stands for the time after which an unreachable candidate counts as
// lost.
BOOST_AUTO_TEST_CASE(the_last_survivor_becomes_a_candidate_within_a_few_rounds)
{
    auto views = fleet(60);
    const std::string survivor = "c59";
    int rounds = 0;
    auto chosen = control_candidates(views);
    for (; !chosen.contains(survivor) && rounds < 10; ++rounds) {
        for (const auto& name : chosen) {
            member(views, name).alive = name == survivor;
        }
        chosen = control_candidates(views);
    }
    BOOST_TEST(rounds <= 5);
}

// Guards against links to many more instances when a single one is lost.
BOOST_AUTO_TEST_CASE(a_single_loss_adds_few_candidates)
{
    auto views = fleet(60);
    const auto first = control_candidates(views);
    member(views, *first.begin()).alive = false;
    const auto second = control_candidates(views);
    BOOST_TEST(count_of(second, 'a') == 5U); // four live ones and the lost one
    BOOST_TEST(count_of(second, 'b') == 3U);
}

// Guards against a controller losing its cell when a stronger instance joins.
BOOST_AUTO_TEST_CASE(a_claim_holder_stays_a_candidate)
{
    auto views = fleet(20);
    BOOST_REQUIRE(!control_candidates(views).contains("c7"));
    member(views, "c7").claims = {{"c", 1, {}}};
    BOOST_TEST(control_candidates(views).contains("c7"));
}

BOOST_AUTO_TEST_SUITE_END()
