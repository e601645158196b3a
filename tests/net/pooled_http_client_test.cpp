#include "net/pooled_http_client.h"

#include "base/glib_timer_service.h"
#include "http/glib_ptr.h"
#include "http/loop.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <gio/gio.h>
#include <optional>
#include <thread>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

struct client_fixture {
    glib_timer_service timers;
    poller events;
    pooled_http_client client{events, timers};
    std::optional<pooled_http_client::outcome> outcome;

    void call(const std::string& address, duration limit)
    {
        outcome.reset();
        http_request request;
        request.target = "/";
        client.call(address, request, limit, [this](auto it) { outcome = std::move(it); });
    }

    bool replied() const { return std::holds_alternative<http_response>(*outcome); }
};

// Accepts one connection and answers all or none of its requests in its own thread, so that replies
// arrive while the event loop of the test is blocked.
class blocking_peer {
public:
    explicit blocking_peer(bool replies) : replies_(replies)
    {
        GError* ec = nullptr;
        port_ = g_socket_listener_add_any_inet_port(listener_.get(), nullptr, &ec);
        BOOST_REQUIRE(port_ != 0);
        thread_ = std::thread([this] { serve(); });
    }

    ~blocking_peer() { thread_.join(); }
    blocking_peer(const blocking_peer&) = delete;
    blocking_peer& operator=(const blocking_peer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve()
    {
        const object_ptr<GSocketConnection> link(
            g_socket_listener_accept(listener_.get(), nullptr, nullptr, nullptr));
        GSocket* socket = g_socket_connection_get_socket(link.get());
        std::array<char, 1024> buf{};
        while (g_socket_receive(socket, buf.data(), buf.size(), nullptr, nullptr) > 0) {
            if (!replies_) {
                continue;
            }
            std::this_thread::sleep_for(20ms); // the event loop is blocked by then
            constexpr std::string_view reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            g_socket_send(socket, reply.data(), reply.size(), nullptr, nullptr);
        }
    }

    bool replies_;
    object_ptr<GSocketListener> listener_{g_socket_listener_new()};
    guint16 port_ = 0;
    std::thread thread_;
};

// Sends one reply in pieces with pauses between them, so that the whole takes longer than a time
// limit that each pause is well within.
class piecemeal_peer {
public:
    static constexpr std::size_t piece_bytes = 16384;

    piecemeal_peer(std::size_t pieces, duration pause) : pieces_(pieces), pause_(pause)
    {
        port_ = g_socket_listener_add_any_inet_port(listener_.get(), nullptr, nullptr);
        BOOST_REQUIRE(port_ != 0);
        thread_ = std::thread([this] { serve(); });
    }

    ~piecemeal_peer() { thread_.join(); }
    piecemeal_peer(const piecemeal_peer&) = delete;
    piecemeal_peer& operator=(const piecemeal_peer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve()
    {
        const object_ptr<GSocketConnection> link(
            g_socket_listener_accept(listener_.get(), nullptr, nullptr, nullptr));
        GSocket* socket = g_socket_connection_get_socket(link.get());
        std::array<char, 1024> buf{};
        g_socket_receive(socket, buf.data(), buf.size(), nullptr, nullptr);
        std::string reply =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces_ * piece_bytes) +
            "\r\n\r\n";
        for (std::size_t i = 0; i < pieces_; ++i) {
            reply.append(piece_bytes, 'x');
            if (g_socket_send(socket, reply.data(), reply.size(), nullptr, nullptr) < 0) {
                return;
            }
            reply.clear();
            std::this_thread::sleep_for(pause_);
        }
    }

    std::size_t pieces_;
    duration pause_;
    object_ptr<GSocketListener> listener_{g_socket_listener_new()};
    guint16 port_ = 0;
    std::thread thread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(pooled_client)

// Guards against counting a reply as lost that arrived while this process was paused.
BOOST_AUTO_TEST_CASE(a_reply_received_during_a_pause_is_delivered)
{
    std::optional<client_fixture> own(std::in_place);
    const blocking_peer peer(true);
    own->call(peer.address(), 1s);
    run_until([&] { return own->outcome.has_value(); });
    BOOST_TEST(own->replied());
    own->call(peer.address(), 50ms);
    g_main_context_iteration(nullptr, FALSE); // sends the request
    std::this_thread::sleep_for(200ms);
    run_until([&] { return own->outcome.has_value(); });
    BOOST_TEST(own->replied());
    own.reset(); // closes the connection, which ends the peer
}

// Guards against requests that never time out.
BOOST_AUTO_TEST_CASE(a_silent_peer_times_out)
{
    std::optional<client_fixture> own(std::in_place);
    const blocking_peer peer(false);
    const auto sent = own->timers.monotonic_now();
    own->call(peer.address(), 100ms);
    run_until([&] { return own->outcome.has_value(); });
    BOOST_TEST(!own->replied());
    BOOST_TEST((own->timers.monotonic_now() - sent >= 100ms));
}

// Guards against a large reply that is fetched again and again from its first byte.
BOOST_AUTO_TEST_CASE(a_reply_that_keeps_arriving_outlasts_the_limit)
{
    constexpr std::size_t pieces = 8;
    std::optional<client_fixture> own(std::in_place);
    const piecemeal_peer peer(pieces, 100ms);
    own->call(peer.address(), 400ms);
    run_until([&] { return own->outcome.has_value(); });
    BOOST_REQUIRE(own->replied());
    BOOST_TEST(std::get<http_response>(*own->outcome).body.size() ==
               pieces * piecemeal_peer::piece_bytes);
    own.reset();
}

BOOST_AUTO_TEST_SUITE_END()
