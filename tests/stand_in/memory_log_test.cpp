#include "stand_in/memory_log.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

struct fixture {
    virtual_timer_service timers;
    memory_log log{timers};
    std::optional<result<log_offset>> appended;
    std::optional<result<log_page>> seen;

    void append(std::string content)
    {
        appended.reset();
        log.append("s", std::move(content), [this](auto reply) { appended = std::move(reply); });
        timers.advance(10ms);
    }

    void read(log_offset from, std::size_t max_records)
    {
        seen.reset();
        log.read("s", from, max_records, [this](auto reply) { seen = std::move(reply); });
        timers.advance(10ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_log_contract, fixture)

// Guards against offsets with gaps, and pages that exceed the limit or contain deleted records.
BOOST_AUTO_TEST_CASE(offsets_grow_by_one_and_reads_are_bounded)
{
    for (const auto* content : {"a", "b", "c", "d"}) {
        append(content);
    }
    BOOST_TEST(appended->value() == 3U);
    log.drop_before("s", 1);
    read(0, 2);
    BOOST_TEST(seen->value().first_retained == 1U);
    BOOST_TEST(seen->value().end == 4U);
    BOOST_REQUIRE(seen->value().records.size() == 2U);
    BOOST_TEST(seen->value().records[0].content == "b");
    read(9, 2);
    BOOST_TEST(seen->value().records.empty());
}

// Guards against a stand-in with fewer faults than the real log: after a lost reply the record may
// be stored.
BOOST_AUTO_TEST_CASE(faults_follow_the_contract)
{
    log.lose_append_replies(1);
    append("a");
    BOOST_CHECK(appended->error().code == errc::reply_lost);
    log.lose_append_requests(1);
    append("b");
    BOOST_CHECK(appended->error().code == errc::reply_lost);
    log.set_down(true);
    append("c");
    BOOST_CHECK(appended->error().code == errc::unavailable);
    log.set_down(false);
    log.set_silent(true);
    read(0, 9);
    BOOST_TEST(!seen.has_value());
    log.set_silent(false);
    read(0, 9);
    BOOST_REQUIRE(seen->value().records.size() == 1U);
    BOOST_TEST(seen->value().records[0].content == "a");
}

// Guards against retention that changes the offsets of the remaining records.
BOOST_AUTO_TEST_CASE(retention_and_rewinding_keep_offsets)
{
    log.set_retention(1min);
    append("a");
    timers.advance(2min);
    append("b");
    read(0, 9);
    BOOST_TEST(seen->value().first_retained == 1U);
    log.rewind("s", 1);
    append("other");
    BOOST_TEST(appended->value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
