#include "base/glib_timer_service.h"
#include "config/deployment.h"
#include "http/http_worker_client.h"
#include "loop.h"
#include "raw_peer.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace cactusloom;
using namespace std::chrono_literals;

// Guards against libsoup resending a start on its own: a non-idempotent task would run twice
// (invariants 1 and 5). It may do so on keep-alive connections, so every row first establishes a
// working one.
namespace no_resend {

struct resend_case {
    const char* name;
    raw_peer::action reaction;
    std::size_t reset_after; // bytes of the second request
};

std::ostream& operator<<(std::ostream& out, const resend_case& it)
{
    return out << it.name;
}

const resend_case resend_cases[] = {
    {"reads the request and closes", raw_peer::action::close, 0},
    {"reads the request and resets", raw_peer::action::reset, 0},
    {"closes inside the reply's head", raw_peer::action::close_in_head, 0},
    {"closes inside the reply's body", raw_peer::action::close_in_body, 0},
    {"resets inside the request's head", raw_peer::action::reply, 40},
    {"resets inside the request's body", raw_peer::action::reply, 300},
};

std::vector<worker_settings> to_workers(const raw_peer& peer)
{
    std::vector<worker_settings> workers(1);
    workers[0].address = peer.address();
    workers[0].max_connections = 4;
    return workers;
}

const char* const good_reply = "HTTP/1.1 200 OK\r\nTask-Id: first\r\nTask-Status: completed\r\n"
                               "Worker-Load: 0 0 0\r\nContent-Length: 2\r\n\r\nok";

struct outcome {
    start_reply reply;
    bool done = false;
};

void start(http_worker_client& client, std::string_view id, outcome& into)
{
    const std::string payload(4000, 'x');
    client.start(0, {id, "stamp_check", payload, 5s, 2s}, [&into](start_reply reply) {
        into.reply = std::move(reply);
        into.done = true;
    });
}

int count_of(const raw_peer& peer, std::string_view id)
{
    return static_cast<int>(
        std::count_if(peer.requests().begin(), peer.requests().end(), [&](const auto& it) {
            return it.find(std::string("Task-Id: ") + std::string(id)) != std::string::npos;
        }));
}

} // namespace no_resend

BOOST_AUTO_TEST_SUITE(no_resend)

BOOST_DATA_TEST_CASE(broken_keep_alive_connection, boost::unit_test::data::make(resend_cases))
{
    glib_timer_service timers;
    raw_peer peer([&](int n, const std::string&) {
        return n == 0 ? raw_peer::action::reply : sample.reaction;
    });
    peer.set_reply(good_reply);
    http_worker_client client(timers, to_workers(peer));
    outcome first;
    start(client, "first", first);
    run_until([&] { return first.done; });
    BOOST_TEST(static_cast<int>(first.reply.status) == static_cast<int>(start_status::completed));
    const int begun = peer.requests_begun();
    peer.reset_after_bytes(sample.reset_after);
    outcome second;
    start(client, "second", second);
    run_until([&] { return second.done; });
    // A resend would reach the peer in a later loop iteration.
    bool settled = false;
    timers.schedule(50ms, [&] { settled = true; });
    run_until([&] { return settled; });
    BOOST_TEST(static_cast<int>(second.reply.status) == static_cast<int>(start_status::reply_lost));
    BOOST_TEST(peer.requests_begun() - begun == 1);
    BOOST_TEST(count_of(peer, "second") <= 1);
    BOOST_TEST(peer.connections() == 1); // the second start used the keep-alive connection
}

// libsoup treats methods that HTTP defines as idempotent differently, so they have their own rows.
BOOST_DATA_TEST_CASE(idempotent_methods,
                     boost::unit_test::data::make({"GET", "PUT", "DELETE"}) *
                         boost::unit_test::data::make({raw_peer::action::close,
                                                       raw_peer::action::reset}),
                     method, reaction)
{
    glib_timer_service timers;
    raw_peer peer(
        [&](int n, const std::string&) { return n == 0 ? raw_peer::action::reply : reaction; });
    http_client client(timers, {});
    http_call call;
    call.method = method;
    call.address = peer.address();
    call.target = "/";
    int ends = 0;
    http_outcome last = http_outcome::replied;
    const auto note = [&](const http_reply& reply) {
        ++ends;
        last = reply.end;
    };
    client.send(call, note);
    run_until([&] { return ends == 1; });
    client.send(call, note);
    run_until([&] { return ends == 2; });
    bool settled = false;
    timers.schedule(50ms, [&] { settled = true; });
    run_until([&] { return settled; });
    BOOST_TEST(static_cast<int>(last) == static_cast<int>(http_outcome::reply_lost));
    BOOST_TEST(peer.requests_begun() == 2);
}

// Replies that make some clients send another request: redirects, an authentication request, a
// timeout, a retry hint.
BOOST_DATA_TEST_CASE(replies_that_invite_a_second_request,
                     boost::unit_test::data::make({"301 Moved Permanently\r\nLocation: /v1/tasks",
                                                   "308 Permanent Redirect\r\n"
                                                   "Location: /v1/tasks",
                                                   "401 Unauthorized\r\nWWW-Authenticate: Basic "
                                                   "realm=\"x\"",
                                                   "408 Request Timeout",
                                                   "503 Service Unavailable\r\n"
                                                   "Retry-After: 0"}))
{
    glib_timer_service timers;
    raw_peer peer([](int, const std::string&) { return raw_peer::action::reply; });
    peer.set_reply(std::string("HTTP/1.1 ") + sample + "\r\nContent-Length: 0\r\n\r\n");
    http_worker_client client(timers, to_workers(peer));
    outcome first;
    start(client, "first", first);
    run_until([&] { return first.done; });
    BOOST_TEST(static_cast<int>(first.reply.status) == static_cast<int>(start_status::reply_lost));
    BOOST_TEST(peer.requests_begun() == 1);
}

// The peer closes the connection between requests, and the client sends before its loop has
// noticed. The start may arrive on a new connection, but only once.
BOOST_AUTO_TEST_CASE(stale_connection)
{
    glib_timer_service timers;
    raw_peer peer([](int, const std::string&) { return raw_peer::action::reply; });
    peer.set_reply(good_reply);
    http_worker_client client(timers, to_workers(peer));
    outcome first;
    start(client, "first", first);
    run_until([&] { return first.done; });
    peer.close_all();
    outcome second;
    start(client, "second", second);
    run_until([&] { return second.done; });
    run_ready();
    BOOST_TEST(count_of(peer, "second") <= 1);
}

// A refused connection proves that nothing was sent, so that the task can go to another worker.
BOOST_AUTO_TEST_CASE(connection_refused)
{
    glib_timer_service timers;
    std::vector<worker_settings> workers;
    {
        const raw_peer gone([](int, const std::string&) { return raw_peer::action::reply; });
        workers = to_workers(gone);
    }
    http_worker_client client(timers, workers);
    outcome first;
    start(client, "first", first);
    run_until([&] { return first.done; });
    BOOST_TEST(static_cast<int>(first.reply.status) == static_cast<int>(start_status::not_sent));
}

// A worker that never replies must not block the caller beyond the time limit.
BOOST_AUTO_TEST_CASE(silent_worker)
{
    glib_timer_service timers;
    const raw_peer peer([](int, const std::string&) { return raw_peer::action::silence; });
    http_worker_client client(timers, to_workers(peer));
    outcome first;
    client.start(0, {"first", "stamp_check", "x", 5s, 1ms}, [&](start_reply reply) {
        first.reply = std::move(reply);
        first.done = true;
    });
    run_until([&] { return first.done; });
    BOOST_TEST(static_cast<int>(first.reply.status) == static_cast<int>(start_status::reply_lost));
}

// Guards against a request that outlives its client and the timers: its completion used to cancel a
// timer of a destroyed service.
BOOST_AUTO_TEST_CASE(request_outlives_client_and_timers)
{
    const raw_peer peer([](int, const std::string&) { return raw_peer::action::silence; });
    bool reported = false;
    {
        glib_timer_service timers;
        http_worker_client client(timers, to_workers(peer));
        client.start(0, {"first", "stamp_check", "x", 5s, 2s},
                     [&](const start_reply&) { reported = true; });
        run_until([&] { return !peer.requests().empty(); });
    }
    glib_timer_service later;
    bool settled = false;
    later.schedule(20ms, [&] { settled = true; });
    run_until([&] { return settled; });
    BOOST_TEST(!reported);
}

BOOST_AUTO_TEST_SUITE_END()
