#include "cell/instance_mesh.h"

#include "black_hole_port.h"
#include "http/loop.h"
#include "stand_in/loopback_proxy.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <glib.h>
#include <utility>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// Two instances in one process; `a` reaches `b` through a relay. Time is virtual and goes on only
// after all that has arrived was read, so that a busy machine makes no message late.
struct linked_instances {
    static constexpr const char* a_address = "127.0.0.1:17501";
    static constexpr const char* b_address = "127.0.0.1:17502";
    static constexpr const char* relay_address = "127.0.0.1:17503";

    virtual_timer_service timers;
    poller events{nullptr, &timers};
    std::unique_ptr<loopback_proxy> relay;
    std::unique_ptr<instance_mesh> a;
    std::unique_ptr<instance_mesh> b;
    int reconnects = 0;
    int own_silences = 0; // pauses after which b may have dropped requests of a
    bool was_down = false;

    linked_instances()
    {
        auto started = loopback_proxy::start(events, timers, relay_address, b_address);
        BOOST_REQUIRE(started);
        relay = std::move(started.value());
        a = std::make_unique<instance_mesh>(events, timers, address_of("a", a_address));
        b = std::make_unique<instance_mesh>(events, timers, address_of("b", relay_address));
        a->on_reconnect = [this](const std::string&) { ++reconnects; };
        a->on_own_silence = [this](std::span<const std::string> peers) {
            own_silences += std::ranges::count(peers, "b") != 0 ? 1 : 0;
        };
        a->on_change = [this] { was_down |= !sees_b(); };
        BOOST_REQUIRE(a->listen(a_address));
        BOOST_REQUIRE(b->listen(b_address));
        a->update_instances({address_of("b", relay_address)});
        BOOST_REQUIRE(run_until([this] { return sees_b(); }, 1s));
        run_for(200ms);
        was_down = false;
        reconnects = 0;
    }

    // Replaces the process of b by one that has started at `incarnation` and holds a claim.
    void restart_b(std::int64_t incarnation, std::uint64_t token)
    {
        b.reset();
        run_for(100ms);
        auto self = address_of("b", relay_address);
        self.incarnation = incarnation;
        b = std::make_unique<instance_mesh>(events, timers, self);
        b->announce({{"dc", token, {}}}, false, 1);
        BOOST_REQUIRE(b->listen(b_address));
    }

    // Lets a have jobs at b, and returns the link on which b gets them.
    peer_link link_of_jobs()
    {
        peer_link link;
        b->on_message = [&link](const peer_link& from, const Json::Value&,
                                const instance_mesh::sender&) { link = from; };
        a->controllers_of_own_jobs = [] { return std::set<std::string>{"b"}; };
        run_for(200ms);
        Json::Value message;
        message["t"] = "submit";
        BOOST_REQUIRE(a->send("b", message));
        BOOST_REQUIRE(run_until([&link] { return link.number != 0; }, 100ms));
        b->on_message = [](const peer_link&, const Json::Value&, const instance_mesh::sender&) {};
        return link;
    }

    bool a_sees_claim(std::uint64_t token) const
    {
        return std::ranges::any_of(a->claim_holders(), [token](const auto& it) {
            return it.name == "b" && it.claims.front().token == token;
        });
    }

    static instance_address address_of(const std::string& name, const std::string& address)
    {
        return {name, address, "dc", 1.0, 1};
    }

    bool sees_b() const
    {
        const auto views = a->views();
        return std::ranges::any_of(views,
                                   [](const auto& it) { return it.name == "b" && it.alive; });
    }

    bool run_until(const std::function<bool()>& done, duration limit)
    {
        const auto end = timers.monotonic_now() + limit;
        while (!done() && timers.monotonic_now() < end) {
            step();
        }
        return done();
    }

    // The kernel delivers what was sent on loopback within the real millisecond.
    void step()
    {
        run_ready();
        g_usleep(1000);
        run_ready();
        timers.advance(1ms);
    }

    void run_for(duration span)
    {
        run_until([] { return false; }, span);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(mesh, linked_instances)

// Guards against peers that ignore the claims of an instance whose clock was set back before it was
// restarted, because they take its state for that of a former process.
BOOST_AUTO_TEST_CASE(the_claims_of_a_process_with_an_earlier_start_time_are_known)
{
    restart_b(5000, 1);
    BOOST_REQUIRE(run_until([this] { return a_sees_claim(1); }, 2s));
    restart_b(4000, 2);
    BOOST_TEST(run_until([this] { return a_sees_claim(2); }, 2s));
}

// Guards against jobs that stay with a controller whose link has become silent until the whole
// silence limit has passed, although its process answers on a new connection.
BOOST_AUTO_TEST_CASE(a_silent_link_is_replaced_while_its_process_answers)
{
    relay->blackhole_open_connections();
    BOOST_TEST(run_until([this] { return reconnects != 0; }, 500ms));
    BOOST_TEST(!was_down);
    run_for(300ms);
    BOOST_TEST(sees_b());
    BOOST_TEST(reconnects == 1);
}

// Guards against a slow process counting as lost: its machine still accepts connections.
BOOST_AUTO_TEST_CASE(a_process_that_is_slow_to_reply_stays_alive)
{
    relay->delay(200ms); // 400 ms for a round trip
    run_for(800ms);
    relay->heal();
    run_for(200ms);
    BOOST_TEST(!was_down);
}

// Guards against 600 ms without a controller when a machine has lost power or is partitioned: it
// does not even accept connections.
BOOST_AUTO_TEST_CASE(a_machine_that_accepts_no_connection_is_down_before_the_silence_limit)
{
    relay.reset();
    const black_hole_port port(17503);
    BOOST_TEST(run_until([this] { return !sees_b(); }, 300ms));
    BOOST_TEST(a->knows_state_of_all());
}

// Guards against a process that counts its own pause as silence of its peers, and then claims
// control.
BOOST_AUTO_TEST_CASE(a_pause_of_this_process_does_not_count_as_silence_of_peers)
{
    own_silences = 0;
    timers.skip(1s);
    BOOST_TEST(sees_b()); // even before anything that has arrived is read
    run_for(300ms);
    BOOST_TEST(!was_down);
    BOOST_TEST(own_silences == 1); // b may have dropped pending requests
    BOOST_TEST(reconnects == 0);   // what is on its way on the link still arrives
}

// Guards against an overloaded instance that replaces its links in every iteration.
BOOST_AUTO_TEST_CASE(late_iterations_that_the_peer_tolerates_keep_the_link)
{
    for (int i = 0; i < 8; ++i) {
        timers.skip(350ms);
        run_for(20ms);
    }
    BOOST_TEST(reconnects == 0);
    BOOST_TEST(own_silences == 0);
    BOOST_TEST(!was_down);
}

// Guards against submissions that count as outdated on a link that has just been opened.
BOOST_AUTO_TEST_CASE(the_first_reply_on_a_new_link_carries_the_current_clock)
{
    run_for(1200ms); // without a change of state
    std::int64_t max_age_ms = 0;
    a->on_reconnect = [this](const std::string&) { ++reconnects; };
    relay->close_open_connections();
    BOOST_REQUIRE(run_until([this] { return reconnects != 0; }, 1s));
    const auto end = timers.monotonic_now() + 300ms;
    while (timers.monotonic_now() < end) {
        step();
        if (a->read_until_ms("b") >= 0) { // unknown until the first reply
            max_age_ms = std::max(max_age_ms, b->own_clock_ms() - a->read_until_ms("b"));
        }
    }
    BOOST_TEST(a->read_until_ms("b") >= 0);
    BOOST_TEST(max_age_ms < 500);
}

// Guards against renewals of jobs that the requester has sent elsewhere since it sent the ping.
BOOST_AUTO_TEST_CASE(a_ping_that_is_read_late_renews_leases_from_when_it_was_sent)
{
    const auto link = link_of_jobs();
    const auto blocked_at = timers.monotonic_now();
    BOOST_TEST((blocked_at - *link.renewed_at < 150ms));
    relay->block_to_target();
    run_for(100ms);
    a->controllers_of_own_jobs = [] { return std::set<std::string>(); };
    const auto last_renewal = timers.monotonic_now() + 100ms; // at the next heartbeat
    run_for(400ms);
    relay->heal();
    run_for(100ms);
    BOOST_TEST((*link.renewed_at >= blocked_at));
    BOOST_TEST((*link.renewed_at <= last_renewal));
}

// Guards against renewals of jobs that the requester has given up with their link.
BOOST_AUTO_TEST_CASE(a_new_link_does_not_renew_the_jobs_of_the_former_one)
{
    const auto link = link_of_jobs();
    relay->close_open_connections();
    BOOST_REQUIRE(run_until([this] { return reconnects != 0; }, 1s));
    const auto replaced_at = timers.monotonic_now();
    run_for(300ms);
    BOOST_TEST((*link.renewed_at < replaced_at));
    const auto newest = link_of_jobs();
    BOOST_TEST(newest.number > link.number);
    BOOST_TEST((timers.monotonic_now() - *newest.renewed_at < 150ms));
    a->replace_link("b");
    reconnects = 0;
    BOOST_TEST(run_until([this] { return reconnects != 0; }, 100ms));
}

// Guards against heartbeats that take more than what an instance may spend on control, 9 KB/s, with
// links to the eleven others of a full mesh. Changes must still arrive.
BOOST_AUTO_TEST_CASE(heartbeats_without_changes_are_small)
{
    constexpr std::size_t bytes_per_s_and_link = 9000 / 11;
    b->announce({{"*", 7, {1, 2, 3}}}, false, 3);
    run_for(400ms);
    const auto before = relay->relayed_bytes();
    run_for(1s);
    BOOST_TEST(relay->relayed_bytes() - before <= bytes_per_s_and_link);
    BOOST_TEST(a->peers_with_newer_config(2).size() == 1U);
    b->announce({{"*", 8, {1, 2, 3}}}, false, 4);
    run_for(100ms);
    BOOST_TEST(a->peers_with_newer_config(3).size() == 1U);
    BOOST_TEST(a->views()[1].claims.at(0).token == 8U);
}

// Guards against a candidate that answers each instance of a large deployment ten times a second,
// and against claims that reach the instances with slow heartbeats late: their jobs wait for them.
BOOST_AUTO_TEST_CASE(non_candidates_ping_less_often_but_learn_of_claims_at_once)
{
    constexpr std::size_t bytes_per_s_and_link = 9000 / 11 / 4; // a quarter of a full mesh's
    std::vector<instance_address> stronger;
    stronger.reserve(60);
    for (int i = 0; i < 60; ++i) { // the last of them counts as lost only after some seconds
        stronger.push_back(
            {fmt::format("s{}", i), fmt::format("127.0.0.1:{}", 17600 + i), "dc", 2.0, 1});
    }
    auto other = address_of("b", relay_address);
    other.cpu_share = 3.0;
    other.incarnation = 2;
    b = nullptr;
    b = std::make_unique<instance_mesh>(events, timers, other);
    BOOST_REQUIRE(b->listen(b_address));
    a->update_instances(stronger);
    BOOST_REQUIRE(run_until([this] { return !a->is_candidate(); }, 1s));
    BOOST_REQUIRE(run_until([this] { return sees_b(); }, 1s));
    run_for(600ms);
    BOOST_REQUIRE(!a->is_candidate());
    was_down = false;
    const auto before = relay->relayed_bytes();
    run_for(1s);
    BOOST_TEST(relay->relayed_bytes() - before <= bytes_per_s_and_link);
    b->announce({{"dc", 7, {1, 2, 3}}}, false, 3);
    BOOST_TEST(run_until([this] { return !a->claim_holders().empty(); }, 50ms));
    run_for(1500ms);
    BOOST_TEST(!was_down);
}

// Guards against a controller that wakes and ends jobs whose heartbeats wait unread.
BOOST_AUTO_TEST_CASE(a_peer_is_not_silent_while_its_messages_wait_unread)
{
    auto* context = g_main_context_new();
    {
        poller late_events{context, &timers};
        instance_mesh late(late_events, timers, address_of("c", "127.0.0.1:17504"));
        BOOST_REQUIRE(late.listen("127.0.0.1:17504"));
        a->update_instances({address_of("c", "127.0.0.1:17504")});
        const auto read_for = [&](duration span) {
            for (const auto end = timers.monotonic_now() + span; timers.monotonic_now() < end;) {
                step();
                while (g_main_context_iteration(context, FALSE)) {
                }
            }
        };
        read_for(500ms);
        BOOST_REQUIRE(late.has_heard_from("a"));
        run_for(2s); // the timers of the late instance run, and its input waits
        BOOST_TEST(late.has_heard_from("a"));
        read_for(100ms);
        BOOST_TEST(late.has_heard_from("a"));
        a.reset();
        read_for(2s);
        BOOST_TEST(!late.has_heard_from("a"));
    }
    g_main_context_unref(context);
}

BOOST_AUTO_TEST_SUITE_END()
