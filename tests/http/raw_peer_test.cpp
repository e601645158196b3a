#include "raw_peer.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <sys/socket.h>
#include <utility>

namespace {

// Makes warnings of GLib and libsoup fatal, because wrong use of them is reported only as text.
struct fatal_criticals {
    fatal_criticals()
    {
        g_log_set_always_fatal(static_cast<GLogLevelFlags>(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL |
                                                           G_LOG_LEVEL_WARNING));
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fatal_criticals);

namespace cactusloom {

raw_peer::raw_peer(script react)
    : script_(std::move(react)), reply_("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
{
    object_ptr<GSocketAddress> where(g_inet_socket_address_new_from_string("127.0.0.1", 0));
    listener_.reset(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_bind(listener_.get(), where.get(), TRUE, nullptr);
    g_socket_listen(listener_.get(), nullptr);
    g_socket_set_blocking(listener_.get(), FALSE);
    accept_source_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc on_ready = [](GSocket*, GIOCondition, gpointer data) -> gboolean {
        static_cast<raw_peer*>(data)->accept_one();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(accept_source_, G_SOURCE_FUNC(on_ready), this, nullptr);
    g_source_attach(accept_source_, nullptr);
}

raw_peer::~raw_peer()
{
    close_all();
    g_source_destroy(accept_source_);
    g_source_unref(accept_source_);
}

std::string raw_peer::address() const
{
    object_ptr<GSocketAddress> local(g_socket_get_local_address(listener_.get(), nullptr));
    return "127.0.0.1:" +
           std::to_string(g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local.get())));
}

void raw_peer::accept_one()
{
    auto it = std::make_unique<connection>();
    it->socket.reset(g_socket_accept(listener_.get(), nullptr, nullptr));
    if (!it->socket) {
        return;
    }
    ++accepted_;
    g_socket_set_blocking(it->socket.get(), FALSE);
    it->source = g_socket_create_source(it->socket.get(), G_IO_IN, nullptr);
    struct context {
        raw_peer* peer;
        connection* which;
    };
    const GSocketSourceFunc on_ready = [](GSocket*, GIOCondition, gpointer data) -> gboolean {
        const auto* at = static_cast<context*>(data);
        return at->peer->read_some(*at->which) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
    };
    g_source_set_callback(it->source, G_SOURCE_FUNC(on_ready), new context{this, it.get()},
                          [](gpointer data) { delete static_cast<context*>(data); });
    g_source_attach(it->source, nullptr);
    open_.push_back(std::move(it));
}

bool raw_peer::read_some(connection& it)
{
    std::array<char, 4096> chunk{};
    const auto size =
        g_socket_receive(it.socket.get(), chunk.data(), chunk.size(), nullptr, nullptr);
    if (size <= 0) {
        close(it, false);
        return false;
    }
    it.buf.append(chunk.data(), static_cast<std::size_t>(size));
    if (!std::exchange(it.begun, true)) {
        ++requests_begun_;
    }
    if (reset_after_ > 0 && it.buf.size() >= reset_after_) {
        close(it, true);
        return false;
    }
    const auto head = it.buf.find("\r\n\r\n");
    if (head == std::string::npos) {
        return true;
    }
    const auto field = it.buf.find("Content-Length: ");
    const auto length = field < head ? std::strtoul(it.buf.c_str() + field + 16, nullptr, 10) : 0UL;
    if (it.buf.size() < head + 4 + length) {
        return true;
    }
    std::string request = it.buf.substr(0, head + 4 + length);
    it.buf.erase(0, head + 4 + length);
    it.begun = false;
    return react(it, request);
}

bool raw_peer::react(connection& it, const std::string& request)
{
    const int n = static_cast<int>(requests_.size());
    requests_.push_back(request);
    switch (script_(n, request)) {
    case action::reply:
        send(it, reply_);
        return true;
    case action::close:
        close(it, false);
        return false;
    case action::reset:
        close(it, true);
        return false;
    case action::close_in_head:
        send(it, "HTTP/1.1 20");
        close(it, false);
        return false;
    case action::close_in_body:
        send(it, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
        close(it, false);
        return false;
    case action::silence:
        return true;
    }
    return true;
}

void raw_peer::send(connection& it, const std::string& text)
{
    g_socket_send(it.socket.get(), text.data(), text.size(), nullptr, nullptr);
}

void raw_peer::close(connection& it, bool reset)
{
    if (reset) {
        const linger now{1, 0};
        setsockopt(g_socket_get_fd(it.socket.get()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    g_source_destroy(it.source);
    g_socket_close(it.socket.get(), nullptr);
}

void raw_peer::close_all()
{
    for (const auto& it : open_) {
        if (!g_socket_is_closed(it->socket.get())) {
            close(*it, false);
        }
        g_source_unref(it->source);
    }
    open_.clear();
}

} // namespace cactusloom
