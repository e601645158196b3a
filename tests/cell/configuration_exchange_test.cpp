#include "cell/configuration_exchange.h"

#include "base/glib_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <glib.h>
#include <thread>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// Instances that do not read the platform's log, linked over loopback.
struct exchange_fixture {
    struct member {
        std::unique_ptr<instance_mesh> mesh;
        std::unique_ptr<configuration_exchange> exchange;
        std::int64_t version = -1;
        std::uint64_t next_offset = 0;
        int requests_received = 0; // config_request messages from other instances
    };

    glib_timer_service timers;
    poller events;
    std::map<std::string, member> members;

    void start(int n)
    {
        std::vector<instance_address> addresses;
        addresses.reserve(static_cast<std::size_t>(n));
        for (int i = 0; i < n; ++i) {
            addresses.push_back(
                {fmt::format("i{}", i), fmt::format("127.0.0.1:{}", 17541 + i), "dc", 1.0, 1});
        }
        for (const auto& it : addresses) {
            auto& own = members[it.name];
            own.mesh = std::make_unique<instance_mesh>(events, timers, it);
            own.exchange = std::make_unique<configuration_exchange>(timers, *own.mesh);
            own.mesh->on_message = [&own](const peer_link& from, const Json::Value& message,
                                          const instance_mesh::sender& reply) {
                own.requests_received += message["t"].asString() == "config_request" ? 1 : 0;
                BOOST_TEST(own.exchange->on_message(from.process.name, message, reply));
            };
            own.exchange->on_configuration = [this, &own](const std::string& text,
                                                          std::uint64_t next) {
                own.next_offset = next;
                set_version(own, std::stoll(text), next - 1, text.substr(text.find(' ')));
            };
            BOOST_REQUIRE(own.mesh->listen(it.address));
            own.mesh->update_instances(addresses);
        }
    }

    static void set_version(member& own, std::int64_t version, std::uint64_t offset,
                            const std::string& content = " ")
    {
        if (version > own.version) {
            own.version = version;
            own.exchange->set_current(version, std::to_string(version) + content, offset);
            own.mesh->announce({}, false, version);
        }
    }

    bool run_until(const std::function<bool()>& done, duration limit)
    {
        const auto end = timers.monotonic_now() + limit;
        while (!done() && timers.monotonic_now() < end) {
            g_main_context_iteration(nullptr, FALSE);
        }
        return done();
    }

    bool all_have(std::int64_t version) const
    {
        return std::ranges::all_of(
            members, [version](const auto& it) { return it.second.version == version; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configurations, exchange_fixture)

// Guards against a version that arrives only with an instance's own read of the platform's log,
// which takes seconds where hundreds of instances read at once. A change must be in force within 2
// s.
BOOST_AUTO_TEST_CASE(a_version_that_one_instance_has_reaches_the_others_at_once)
{
    start(4);
    run_until([] { return false; }, 200ms);
    set_version(members["i2"], 5, 41);
    BOOST_TEST(run_until([this] { return all_have(5); }, 500ms));
    BOOST_TEST(members["i0"].next_offset == 42U); // the record is not read again
    set_version(members["i1"], 9, 57);
    BOOST_TEST(run_until([this] { return all_have(9); }, 500ms));
}

// Guards against all instances sending their request to the same peer: a large configuration would
// occupy its link for seconds.
BOOST_AUTO_TEST_CASE(requests_spread_over_the_peers_that_have_the_version)
{
    start(8);
    run_until([] { return false; }, 200ms);
    set_version(members["i0"], 5, 1);
    set_version(members["i1"], 5, 1);
    set_version(members["i2"], 5, 1);
    BOOST_TEST(run_until([this] { return all_have(5); }, 500ms));
    BOOST_TEST(std::max({members["i0"].requests_received, members["i1"].requests_received,
                         members["i2"].requests_received}) <= 3);
}

// Guards against an overloaded instance without a version that it knows of; 3 s are allowed.
BOOST_AUTO_TEST_CASE(a_version_arrives_although_every_iteration_is_late)
{
    start(3);
    run_until([] { return false; }, 200ms);
    const auto sent = timers.monotonic_now();
    set_version(members["i0"], 5, 41, std::string(200000, ' '));
    while (!all_have(5) && timers.monotonic_now() - sent < 3s) {
        std::this_thread::sleep_for(500ms);
        run_until([] { return false; }, 5ms);
    }
    BOOST_TEST(all_have(5));
}

BOOST_AUTO_TEST_SUITE_END()
