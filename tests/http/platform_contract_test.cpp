#include "base/glib_timer_service.h"
#include "http/http_instance_list.h"
#include "http/http_log_service.h"
#include "loop.h"
#include "raw_peer.h"
#include "stand_in/memory_instance_list.h"
#include "stand_in/memory_log.h"
#include "stand_in/platform_stand_in_server.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace platform_contract {

// A log and an instance list, accessible in memory and over HTTP.
struct fixture {
    glib_timer_service timers;
    memory_log log{timers};
    memory_instance_list list{timers};
    std::unique_ptr<platform_stand_in_server> server;
    std::unique_ptr<http_log_service> remote_log;
    std::unique_ptr<http_instance_list> remote_list;

    fixture()
    {
        log.set_latency(0ms, 0ms);
        server =
            std::move(platform_stand_in_server::listen("127.0.0.1:0", timers, log, list)).value();
        remote_log = std::make_unique<http_log_service>(timers, server->address());
        remote_list = std::make_unique<http_instance_list>(timers, server->address());
    }
    log_service& log_of(bool remote)
    {
        return remote ? *remote_log : static_cast<log_service&>(log);
    }
};

result<log_offset> append(log_service& log, std::string content)
{
    std::optional<result<log_offset>> found;
    log.append("config", std::move(content), [&](result<log_offset> it) { found = std::move(it); });
    BOOST_TEST(!found); // never from inside the call
    run_until([&] { return found.has_value(); });
    return *found;
}

result<log_page> read(log_service& log, log_offset from, std::size_t max)
{
    std::optional<result<log_page>> found;
    log.read("config", from, max, [&](result<log_page> it) { found = std::move(it); });
    BOOST_TEST(!found);
    run_until([&] { return found.has_value(); });
    return *found;
}

} // namespace platform_contract

BOOST_AUTO_TEST_SUITE(platform_contract)

// Guards against differences between the log in memory and over HTTP, so that tests with one are
// valid for the other.
BOOST_DATA_TEST_CASE(log_keeps_records, boost::unit_test::data::make({false, true}), remote)
{
    fixture it;
    auto& log = it.log_of(remote);
    const std::string odd = "{\"a\":\"\\u0000 \xC3\xA9\n\"}";
    BOOST_TEST(append(log, odd).value() == 0U);
    BOOST_TEST(append(log, "second").value() == 1U);
    BOOST_TEST(append(log, "").value() == 2U);
    const auto page = read(log, 0, 2).value();
    BOOST_TEST(page.records.size() == 2U);
    BOOST_TEST(page.records.at(0).content == odd);
    BOOST_TEST(page.records.at(1).offset == 1U);
    BOOST_TEST(page.end == 3U);
    it.log.drop_before("config", 2);
    const auto later = read(log, 0, 10).value();
    BOOST_TEST(later.first_retained == 2U);
    BOOST_TEST(later.records.size() == 1U);
    BOOST_TEST(read(log, 7, 10).value().records.empty());
}

// Guards against reporting a stored record as not stored, or the other way round.
BOOST_DATA_TEST_CASE(log_errors_say_what_is_certain, boost::unit_test::data::make({false, true}),
                     remote)
{
    fixture it;
    auto& log = it.log_of(remote);
    it.log.set_down(true);
    BOOST_TEST(static_cast<int>(append(log, "x").error().code) ==
               static_cast<int>(errc::unavailable));
    BOOST_TEST(static_cast<int>(read(log, 0, 1).error().code) ==
               static_cast<int>(errc::unavailable));
    it.log.set_down(false);
    it.log.lose_append_replies(1);
    BOOST_TEST(static_cast<int>(append(log, "y").error().code) ==
               static_cast<int>(errc::reply_lost));
    BOOST_TEST(it.log.page("config").records.size() == 1U);
}

BOOST_DATA_TEST_CASE(list_names_instances, boost::unit_test::data::make({false, true}), remote)
{
    fixture it;
    it.list.set_instances({{"a-1", "a", "127.0.0.1:1", false}, {"b-1", "b", "127.0.0.1:2", true}});
    instance_list& list = remote ? *it.remote_list : static_cast<instance_list&>(it.list);
    std::optional<result<std::vector<listed_instance>>> found;
    const auto fetch = [&] {
        found.reset();
        list.fetch([&](auto got) { found = std::move(got); });
        run_until([&] { return found.has_value(); });
    };
    fetch();
    BOOST_TEST(found->value().size() == 2U);
    BOOST_TEST(found->value().at(1).name == "b-1");
    BOOST_TEST(found->value().at(1).leaving);
    it.list.set_down(true);
    fetch();
    BOOST_TEST(static_cast<int>(found->error().code) == static_cast<int>(errc::unavailable));
}

struct bad_reply {
    const char* name;
    const char* text;
};

std::ostream& operator<<(std::ostream& out, const bad_reply& it)
{
    return out << it.name;
}

const bad_reply bad_replies[] = {
    {"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage"},
    {"wrong type", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"offset\":\"1\"}"},
    {"negative offset", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\":-1}"},
    {"list in place of an object", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"},
    {"error without a code", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
    {"error of a gateway", "HTTP/1.1 502 Bad\r\nContent-Length: 2\r\n\r\nno"},
};

// Guards against trusting a reply that violates the protocol: an append must count as lost, since
// the record may be stored, and a read must fail.
BOOST_DATA_TEST_CASE(replies_that_break_the_protocol, boost::unit_test::data::make(bad_replies))
{
    glib_timer_service timers;
    raw_peer peer([](int, const std::string&) { return raw_peer::action::reply; });
    peer.set_reply(sample.text);
    http_log_service log(timers, peer.address());
    BOOST_TEST(static_cast<int>(append(log, "x").error().code) ==
               static_cast<int>(errc::reply_lost));
    BOOST_TEST(!read(log, 0, 1));
    BOOST_TEST(peer.requests().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
