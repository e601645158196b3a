#include "config/stable_positions.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

namespace {

worker_settings make_worker(std::string name, std::string address)
{
    worker_settings worker;
    worker.name = std::move(name);
    worker.address = std::move(address);
    return worker;
}

deployment make_deployment(std::vector<worker_settings> workers)
{
    deployment settings;
    settings.workers = std::move(workers);
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stable_positions)

// Guards against a reply that is credited to another worker after the document was reordered.
BOOST_AUTO_TEST_CASE(reordered_workers_keep_their_positions)
{
    const auto current = make_deployment({make_worker("a", "1"), make_worker("b", "2")});
    const auto merged = with_stable_positions(
        current,
        make_deployment({make_worker("c", "3"), make_worker("b", "2"), make_worker("a", "1")}));
    BOOST_TEST_REQUIRE(merged.workers.size() == 3U);
    BOOST_TEST(merged.workers[0].name == "a");
    BOOST_TEST(merged.workers[1].name == "b");
    BOOST_TEST(merged.workers[2].name == "c");
    BOOST_TEST(!merged.workers[1].retired);
}

// Guards against new work for a worker that was removed from the document.
BOOST_AUTO_TEST_CASE(removed_worker_is_retired_and_returns_in_place)
{
    const auto both = make_deployment({make_worker("a", "1"), make_worker("b", "2")});
    const auto without = with_stable_positions(both, make_deployment({make_worker("b", "2")}));
    BOOST_TEST_REQUIRE(without.workers.size() == 2U);
    BOOST_TEST(without.workers[0].retired);
    BOOST_TEST(!without.workers[1].retired);
    const auto again = with_stable_positions(without, both);
    BOOST_TEST_REQUIRE(again.workers.size() == 2U);
    BOOST_TEST(!again.workers[0].retired);
}

// Guards against a replaced machine that inherits the history of the old one under its name.
BOOST_AUTO_TEST_CASE(worker_with_another_address_gets_a_new_position)
{
    const auto current = make_deployment({make_worker("a", "1")});
    const auto merged = with_stable_positions(current, make_deployment({make_worker("a", "9")}));
    BOOST_TEST_REQUIRE(merged.workers.size() == 2U);
    BOOST_TEST(merged.workers[0].retired);
    BOOST_TEST(merged.workers[1].address == "9");
}

BOOST_AUTO_TEST_SUITE_END()
