#include "base/glib_timer_service.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "loop.h"
#include "raw_caller.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace http_limits {

// A server with simulated time, so that tests of slow callers need not wait.
struct fixture {
    virtual_timer_service time;
    std::vector<http_exchange_ptr> held;
    bool hold = false;
    std::size_t served = 0;
    std::unique_ptr<http_server> server;

    explicit fixture(http_server_limits limits)
    {
        server = std::move(http_server::listen("127.0.0.1:0", time, limits,
                                               [this](const http_exchange_ptr& it) {
                                                   ++served;
                                                   if (hold) {
                                                       held.push_back(it);
                                                   }
                                                   else {
                                                       it->reply(200, it->body());
                                                   }
                                               }))
                     .value();
    }
};

std::string post(std::size_t length, const std::string& body)
{
    return "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n" + body;
}

} // namespace http_limits

BOOST_AUTO_TEST_SUITE(http_limits)

// Guards against reading a body into memory whose declared length is too large.
BOOST_AUTO_TEST_CASE(declared_body_too_large)
{
    fixture it({.max_body_bytes = 100});
    raw_caller caller(it.server->address());
    caller.send(post(101, ""));
    run_until([&] { return caller.closed() || caller.received("413"); });
    BOOST_TEST(caller.received("HTTP/1.1 413"));
    BOOST_TEST(it.served == 0U);
}

// Guards against a body that grows without a declared length.
BOOST_AUTO_TEST_CASE(chunked_body_too_large)
{
    fixture it({.max_body_bytes = 100});
    raw_caller caller(it.server->address());
    caller.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
    caller.send(chunk + chunk + chunk);
    run_until([&] { return caller.closed(); });
    BOOST_TEST(it.served == 0U);
}

BOOST_AUTO_TEST_CASE(body_of_the_largest_size)
{
    fixture it({.max_body_bytes = 100});
    raw_caller caller(it.server->address());
    caller.send(post(100, std::string(100, 'x')));
    run_until([&] { return caller.received(std::string(100, 'x')); });
    BOOST_TEST(it.served == 1U);
}

// Guards against one connection per request: libsoup closes the connections of a server that has no
// listener of its own.
BOOST_AUTO_TEST_CASE(connection_is_kept)
{
    fixture it({});
    raw_caller caller(it.server->address());
    caller.send(post(1, "a"));
    run_until([&] { return caller.received("\r\n\r\na") || caller.closed(); });
    caller.send(post(1, "b"));
    run_until([&] { return caller.received("\r\n\r\nb") || caller.closed(); });
    BOOST_TEST(!caller.closed());
    BOOST_TEST(it.served == 2U);
}

// Guards against a caller that occupies a connection by sending a body slowly.
BOOST_AUTO_TEST_CASE(slow_body)
{
    fixture it({.body_timeout = 10s});
    raw_caller slow(it.server->address());
    slow.send(post(10, "x"));
    raw_caller quick(it.server->address());
    quick.send(post(1, "y"));
    run_until([&] { return quick.received("\r\n\r\ny"); });
    it.time.advance(9s);
    run_ready();
    BOOST_TEST(!slow.closed());
    it.time.advance(3s);
    run_until([&] { return slow.closed(); });
    BOOST_TEST(it.server->slow_connections() == 1U);
    BOOST_TEST(!quick.closed());
}

// Guards against connections that never complete a request header.
BOOST_AUTO_TEST_CASE(slow_header)
{
    fixture it({.header_timeout = 60s});
    raw_caller slow(it.server->address());
    slow.send("POST /v1/jobs HTT");
    run_until([&] { return it.server->open_connections() == 1; });
    it.time.advance(62s);
    run_until([&] { return slow.closed(); });
    BOOST_TEST(it.server->slow_connections() == 1U);
    run_until([&] { return it.server->open_connections() == 0; });
}

// Guards against treating a long wait for an answer as a slow caller.
BOOST_AUTO_TEST_CASE(waiting_for_an_answer_is_not_slow)
{
    fixture it({});
    it.hold = true;
    raw_caller caller(it.server->address());
    caller.send(post(1, "y"));
    run_until([&] { return it.held.size() == 1; });
    BOOST_TEST(it.server->open_exchanges() == 1U);
    it.time.advance(120s);
    run_ready();
    it.held[0]->reply(200, "late");
    run_until([&] { return caller.received("late"); });
    run_until([&] { return it.server->open_exchanges() == 0; });
}

// Guards against an unlimited number of connections.
BOOST_AUTO_TEST_CASE(too_many_connections)
{
    fixture it({.max_connections = 2});
    raw_caller first(it.server->address());
    raw_caller second(it.server->address());
    run_until([&] { return it.server->open_connections() == 2; });
    raw_caller third(it.server->address());
    run_until([&] { return third.closed(); });
    BOOST_TEST(it.server->refused_connections() == 1U);
    first.close();
    run_until([&] { return it.server->open_connections() == 1; });
    raw_caller fourth(it.server->address());
    fourth.send(post(1, "y"));
    run_until([&] { return fourth.received("\r\n\r\ny"); });
}

// Guards against use of a connection after its caller disconnected while waiting.
BOOST_AUTO_TEST_CASE(caller_disconnects)
{
    fixture it({});
    it.hold = true;
    {
        raw_caller caller(it.server->address());
        caller.send(post(1, "y"));
        run_until([&] { return it.held.size() == 1; });
    }
    run_ready();
    it.held[0]->reply(200, "late");
    it.held.clear();
    run_until([&] { return it.server->open_connections() == 0; });
    it.hold = false;
    raw_caller next(it.server->address());
    next.send(post(1, "z"));
    run_until([&] { return next.received("\r\n\r\nz"); });
    BOOST_TEST(it.served == 2U);
}

// Guards against an exchange that outlives its server.
BOOST_AUTO_TEST_CASE(exchange_outlives_server)
{
    fixture it({});
    it.hold = true;
    raw_caller caller(it.server->address());
    caller.send(post(1, "y"));
    run_until([&] { return it.held.size() == 1; });
    it.server.reset();
    it.held[0]->reply(200, "late");
    it.held.clear();
    run_until([&] { return caller.closed(); });
    BOOST_TEST(!caller.received("late"));
}

// Guards against a daemon that starts although its port is in use, and against malformed addresses.
BOOST_AUTO_TEST_CASE(address_faults)
{
    fixture it({});
    const auto listen = [&](const std::string& address) {
        return http_server::listen(address, it.time, {}, [](const http_exchange_ptr&) {});
    };
    BOOST_TEST(static_cast<int>(listen(it.server->address()).error().code) ==
               static_cast<int>(errc::unavailable));
    for (const char* address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000",
                                "localhost:80", ":80", "127.0.0.1:-1"}) {
        BOOST_TEST_CONTEXT(address)
        {
            BOOST_TEST(static_cast<int>(listen(address).error().code) ==
                       static_cast<int>(errc::invalid_argument));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
