#include "entry/submission_locator.h"

#include "membership/member_table.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

namespace {

constexpr std::uint64_t key = 7;

member make_member(std::string name, std::string data_centre, std::uint64_t incarnation)
{
    member it;
    it.name = std::move(name);
    it.data_centre = std::move(data_centre);
    it.address = "127.0.0.1:1";
    it.incarnation = incarnation;
    return it;
}

std::string make_id(std::string instance, std::uint64_t incarnation)
{
    return make_prefix({.instance = std::move(instance),
                        .data_centre = "north",
                        .incarnation = incarnation,
                        .issued = monotonic_time{std::chrono::seconds{5}}},
                       key) +
           ".a1";
}

// State of the membership with respect to owner "b", incarnation 20, and the expected result.
struct location_case {
    const char* name;
    std::string id;
    void (*prepare)(member_table&);
    submission_place expected;
};

void add_live_owner(member_table& table)
{
    table.apply(make_member("b", "south", 20), monotonic_time{});
}

void add_dead_owner(member_table& table)
{
    member it = make_member("b", "south", 20);
    it.state = member_state::dead;
    table.apply(it, monotonic_time{});
}

void add_restarted_owner(member_table& table)
{
    table.apply(make_member("b", "south", 21), monotonic_time{});
}

void add_unreachable_owner(member_table& table)
{
    add_live_owner(table);
    table.set_reachable("south", false);
}

const location_case cases[] = {
    {"own id", make_id("a", 10), add_live_owner, submission_place::local},
    {"own name, earlier incarnation", make_id("a", 9), add_live_owner, submission_place::gone},
    {"live owner", make_id("b", 20), add_live_owner, submission_place::remote},
    {"dead owner", make_id("b", 20), add_dead_owner, submission_place::gone},
    {"restarted owner", make_id("b", 20), add_restarted_owner, submission_place::gone},
    {"owner in an unreachable data centre", make_id("b", 20), add_unreachable_owner,
     submission_place::unreachable},
    {"owner never heard of", make_id("c", 5), add_live_owner, submission_place::unreachable},
    {"damaged id", make_id("a", 10).replace(0, 1, "b"), add_live_owner,
     submission_place::malformed},
    {"no prefix", "plain", add_live_owner, submission_place::malformed},
};

} // namespace

BOOST_AUTO_TEST_SUITE(submission_locator)

// Guards against starting tasks of an id that another incarnation issued, whatever is known of it.
BOOST_AUTO_TEST_CASE(only_the_issuing_incarnation_is_local)
{
    for (const location_case& it : cases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            member_table table(make_member("a", "north", 10));
            it.prepare(table);
            const auto found = locate_submission(it.id, table, key);
            BOOST_TEST(static_cast<int>(found.place) == static_cast<int>(it.expected));
            BOOST_TEST((found.place == submission_place::remote) == !found.address.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
