#include "http/http_server.h"

#include "http/glib_ptr.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <fmt/format.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <unordered_map>
#include <utility>

namespace cactusloom {
namespace {

// Interval of the search for slow connections. Adds at most this to each time limit.
constexpr duration sweep_interval = std::chrono::seconds{1};
constexpr int listen_backlog = 1024;

enum class connection_phase { header, body, answering };

struct connection {
    connection_phase phase = connection_phase::header;
    monotonic_time since{};
    GSocket* socket = nullptr; // owned by libsoup's stream
    bool closed = false;
    bool refused = false; // answered already; further input is discarded
};

object_ptr<GSocketAddress> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return nullptr;
    }
    char* end = nullptr;
    const unsigned long port = std::strtoul(text.c_str() + colon + 1, &end, 10);
    if (end == text.c_str() + colon + 1 || *end != '\0' || port > 65535) {
        return nullptr;
    }
    return object_ptr<GSocketAddress>(g_inet_socket_address_new_from_string(
        text.substr(0, colon).c_str(), static_cast<guint>(port)));
}

class soup_exchange final : public http_exchange {
public:
    soup_exchange(SoupServerMessage* message, std::shared_ptr<const bool> server_open)
        : message_(static_cast<SoupServerMessage*>(g_object_ref(message))),
          server_open_(std::move(server_open))
    {
        finished_handler_ = g_signal_connect(
            message, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
                static_cast<soup_exchange*>(data)->finished_ = true;
            }),
            this);
        soup_server_message_pause(message);
        auto* buf = soup_message_body_flatten(soup_server_message_get_request_body(message));
        body_.reset(buf);
    }

    ~soup_exchange() override
    {
        if (!replied_) {
            reply(500, R"({"state":"unknown","reason":"the request was dropped"})",
                  "application/json");
        }
        g_signal_handler_disconnect(message_.get(), finished_handler_);
    }

    std::string_view method() const override
    {
        return soup_server_message_get_method(message_.get());
    }
    std::string_view path() const override
    {
        return g_uri_get_path(soup_server_message_get_uri(message_.get()));
    }
    std::string_view body() const override
    {
        gsize size = 0;
        const auto* data = static_cast<const char*>(g_bytes_get_data(body_.get(), &size));
        return {data == nullptr ? "" : data, size};
    }
    std::string_view header(const char* name) const override
    {
        const char* value = soup_message_headers_get_one(
            soup_server_message_get_request_headers(message_.get()), name);
        return value == nullptr ? "" : value;
    }
    std::string query(const char* name) const override
    {
        const char* text = g_uri_get_query(soup_server_message_get_uri(message_.get()));
        if (text == nullptr) {
            return "";
        }
        GHashTable* form = soup_form_decode(text);
        const auto* value = static_cast<const char*>(g_hash_table_lookup(form, name));
        std::string found = value == nullptr ? "" : value;
        g_hash_table_unref(form);
        return found;
    }
    std::string raw_query() const override
    {
        const char* text = g_uri_get_query(soup_server_message_get_uri(message_.get()));
        return text == nullptr ? "" : text;
    }
    void set_header(const char* name, const std::string& value) override
    {
        soup_message_headers_replace(soup_server_message_get_response_headers(message_.get()), name,
                                     value.c_str());
    }
    void reply(unsigned status, std::string_view body, const char* content_type) override
    {
        if (std::exchange(replied_, true) || finished_ || !*server_open_) {
            return;
        }
        soup_server_message_set_status(message_.get(), status, nullptr);
        soup_server_message_set_response(message_.get(), content_type, SOUP_MEMORY_COPY,
                                         body.data(), body.size());
        soup_server_message_unpause(message_.get());
    }
    void close_without_reply() override
    {
        if (std::exchange(replied_, true) || finished_ || !*server_open_) {
            return;
        }
        object_ptr<GIOStream> stream(soup_server_message_steal_connection(message_.get()));
        if (stream) {
            g_io_stream_close(stream.get(), nullptr, nullptr);
        }
    }

private:
    struct bytes_unref {
        void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
    };

    object_ptr<SoupServerMessage> message_;
    std::shared_ptr<const bool> server_open_;
    std::unique_ptr<GBytes, bytes_unref> body_;
    gulong finished_handler_ = 0;
    bool replied_ = false;
    bool finished_ = false;
};

// libsoup keeps connections alive only while it has a listener of its own. It gets a datagram
// socket that is connected to itself, so that nothing ever arrives there.
bool add_keep_alive_listener(SoupServer* server, GError** ec)
{
    const object_ptr<GSocketAddress> loopback(
        g_inet_socket_address_new_from_string("127.0.0.1", 0));
    const object_ptr<GSocket> datagram_socket(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, ec));
    if (!datagram_socket || !g_socket_bind(datagram_socket.get(), loopback.get(), FALSE, ec)) {
        return false;
    }
    const object_ptr<GSocketAddress> own(g_socket_get_local_address(datagram_socket.get(), ec));
    return own && g_socket_connect(datagram_socket.get(), own.get(), nullptr, ec) != FALSE &&
           soup_server_listen_socket(server, datagram_socket.get(), SoupServerListenOptions{},
                                     ec) != FALSE;
}

} // namespace

struct http_server::state {
    timer_service* timers = nullptr;
    http_server_limits limits;
    handler on_request;
    object_ptr<SoupServer> server;
    object_ptr<GSocket> listener;
    GSource* accept_source = nullptr;
    // Keyed by the remote address object, which libsoup's messages provide. They provide no socket
    // for connections that libsoup did not accept itself.
    std::unordered_map<GSocketAddress*, connection> connections;
    std::shared_ptr<bool> open = std::make_shared<bool>(true);
    std::uint64_t refused = 0;
    std::uint64_t closed_slow = 0;
    timer_id sweep_timer = 0;

    void accept_all();
    void sweep();
    void set_phase(SoupServerMessage* message, connection_phase phase);
    void watch(SoupServerMessage* message);
    void watch_stream(GSocketConnection* stream, GSocketAddress* remote);
    void reject_body(SoupServerMessage* message);
    bool was_rejected(SoupServerMessage* message) const;
    void stop_accepting();
    ~state();
};

void http_server::state::stop_accepting()
{
    if (accept_source != nullptr) {
        g_source_destroy(accept_source);
        g_source_unref(accept_source);
        accept_source = nullptr;
        g_socket_close(listener.get(), nullptr);
    }
}

http_server::state::~state()
{
    timers->cancel(sweep_timer);
    stop_accepting();
    g_signal_handlers_disconnect_by_data(server.get(), this);
    *open = false;
    soup_server_disconnect(server.get());
}

void http_server::state::accept_all()
{
    // The limit of accepts per loop iteration keeps open connections served during a connection
    // storm.
    for (int n = 0; n < 64; ++n) {
        glib_error ec;
        object_ptr<GSocket> socket(g_socket_accept(listener.get(), nullptr, ec.out()));
        if (!socket) {
            return;
        }
        if (connections.size() >= limits.max_connections) {
            ++refused;
            g_socket_close(socket.get(), nullptr);
            continue;
        }
        g_socket_set_option(socket.get(), 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
        object_ptr<GSocketConnection> stream(
            g_socket_connection_factory_create_connection(socket.get()));
        object_ptr<GSocketAddress> local(g_socket_get_local_address(socket.get(), nullptr));
        object_ptr<GSocketAddress> remote(g_socket_get_remote_address(socket.get(), nullptr));
        if (!local || !remote) {
            continue; // the caller has disconnected already
        }
        watch_stream(stream.get(), remote.get());
        if (!soup_server_accept_iostream(server.get(), G_IO_STREAM(stream.get()), local.get(),
                                         remote.get(), ec.out())) {
            g_io_stream_close(G_IO_STREAM(stream.get()), nullptr, nullptr);
        }
    }
}

void http_server::state::watch_stream(GSocketConnection* stream, GSocketAddress* remote)
{
    connections[remote] = {connection_phase::header, timers->monotonic_now(),
                           g_socket_connection_get_socket(stream), false, false};
    // Erases the entry when libsoup releases the stream, which may be after this server is
    // destroyed.
    struct stream_entry {
        state* owner;
        std::shared_ptr<bool> open;
        object_ptr<GSocketAddress> remote;
    };
    g_object_weak_ref(
        G_OBJECT(stream),
        [](gpointer data, GObject*) {
            const std::unique_ptr<stream_entry> it(static_cast<stream_entry*>(data));
            if (*it->open) {
                it->owner->connections.erase(it->remote.get());
            }
        },
        new stream_entry{
            this, open,
            object_ptr<GSocketAddress>(static_cast<GSocketAddress*>(g_object_ref(remote)))});
}

void http_server::state::sweep()
{
    const auto now = timers->monotonic_now();
    for (auto& [remote, it] : connections) {
        const bool slow =
            (it.phase == connection_phase::header && now - it.since > limits.header_timeout) ||
            (it.phase == connection_phase::body && now - it.since > limits.body_timeout);
        if (slow && !std::exchange(it.closed, true)) {
            ++closed_slow;
            g_socket_shutdown(it.socket, TRUE, TRUE, nullptr);
        }
    }
    sweep_timer = timers->schedule(sweep_interval, [this] { sweep(); });
}

void http_server::state::set_phase(SoupServerMessage* message, connection_phase phase)
{
    const auto it = connections.find(soup_server_message_get_remote_address(message));
    if (it != connections.end()) {
        it->second.phase = phase;
        it->second.since = timers->monotonic_now();
    }
}

// libsoup cannot answer before it has read the whole body, so the reply is written directly to the
// socket. The rest of the body is read and discarded until the caller closes or the body times out;
// an immediate close would reset the connection, and the caller could lose the reply.
void http_server::state::reject_body(SoupServerMessage* message)
{
    const auto it = connections.find(soup_server_message_get_remote_address(message));
    if (it == connections.end() || std::exchange(it->second.refused, true)) {
        return;
    }
    constexpr std::string_view reply =
        "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n"
        "Content-Type: application/json\r\nContent-Length: 59\r\n\r\n"
        R"({"state":"failed_not_run","reason":"the body is too large"})";
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    g_socket_send(it->second.socket, reply.data(), reply.size(), nullptr, nullptr);
    g_socket_shutdown(it->second.socket, FALSE, TRUE, nullptr);
}

bool http_server::state::was_rejected(SoupServerMessage* message) const
{
    const auto it = connections.find(soup_server_message_get_remote_address(message));
    return it != connections.end() && it->second.refused;
}

void http_server::state::watch(SoupServerMessage* message)
{
    g_signal_connect(message, "got-headers", G_CALLBACK(+[](SoupServerMessage* msg, gpointer data) {
                         auto* self = static_cast<state*>(data);
                         self->set_phase(msg, connection_phase::body);
                         const auto size = soup_message_headers_get_content_length(
                             soup_server_message_get_request_headers(msg));
                         if (size > static_cast<goffset>(self->limits.max_body_bytes)) {
                             self->reject_body(msg);
                         }
                     }),
                     this);
    g_signal_connect(message, "got-chunk",
                     G_CALLBACK(+[](SoupServerMessage* msg, GBytes*, gpointer data) {
                         auto* self = static_cast<state*>(data);
                         const auto* body = soup_server_message_get_request_body(msg);
                         if (body->length > static_cast<goffset>(self->limits.max_body_bytes)) {
                             self->reject_body(msg);
                         }
                     }),
                     this);
}

http_server::http_server(std::unique_ptr<state> state) : state_(std::move(state)) {}

http_server::~http_server() = default;

result<std::unique_ptr<http_server>> http_server::listen(const std::string& address,
                                                         timer_service& timers,
                                                         http_server_limits limits,
                                                         handler on_request)
{
    const auto where = parse_address(address);
    if (!where) {
        return failure(errc::invalid_argument, fmt::format("'{}' is not ip:port", address));
    }
    glib_error ec;
    auto self = std::make_unique<state>();
    self->timers = &timers;
    self->limits = limits;
    self->on_request = std::move(on_request);
    self->server.reset(soup_server_new("server-header", "cactusloom", nullptr));
    self->listener.reset(g_socket_new(g_socket_address_get_family(where.get()),
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, ec.out()));
    if (!self->listener || !g_socket_bind(self->listener.get(), where.get(), TRUE, ec.out())) {
        return failure(errc::unavailable, fmt::format("cannot bind {}: {}", address, ec.message()));
    }
    g_socket_set_listen_backlog(self->listener.get(), listen_backlog);
    g_socket_set_blocking(self->listener.get(), FALSE);
    if (!g_socket_listen(self->listener.get(), ec.out())) {
        return failure(errc::unavailable,
                       fmt::format("cannot listen on {}: {}", address, ec.message()));
    }
    if (!add_keep_alive_listener(self->server.get(), ec.out())) {
        return failure(errc::unavailable,
                       fmt::format("cannot create the keep-alive listener: {}", ec.message()));
    }
    auto* raw = self.get();
    g_signal_connect(self->server.get(), "request-started",
                     G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer data) {
                         auto* owner = static_cast<state*>(data);
                         owner->set_phase(message, connection_phase::header);
                         owner->watch(message);
                     }),
                     raw);
    g_signal_connect(self->server.get(), "request-read",
                     G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer data) {
                         static_cast<state*>(data)->set_phase(message, connection_phase::answering);
                     }),
                     raw);
    // libsoup reports the next request only when its first byte arrives.
    g_signal_connect(self->server.get(), "request-finished",
                     G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer data) {
                         static_cast<state*>(data)->set_phase(message, connection_phase::header);
                     }),
                     raw);
    soup_server_add_handler(
        self->server.get(), nullptr,
        [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
            auto* owner = static_cast<state*>(data);
            if (owner->was_rejected(message)) {
                soup_server_message_set_status(message, 413, nullptr);
                return;
            }
            owner->on_request(std::make_shared<soup_exchange>(message, owner->open));
        },
        raw, nullptr);
    self->accept_source = g_socket_create_source(self->listener.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc on_ready = [](GSocket*, GIOCondition, gpointer data) -> gboolean {
        static_cast<state*>(data)->accept_all();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(self->accept_source, G_SOURCE_FUNC(on_ready), raw, nullptr);
    g_source_attach(self->accept_source, g_main_context_get_thread_default());
    raw->sweep();
    return std::unique_ptr<http_server>(new http_server(std::move(self)));
}

std::string http_server::address() const
{
    object_ptr<GSocketAddress> local(g_socket_get_local_address(state_->listener.get(), nullptr));
    if (!local) {
        return "";
    }
    auto* inet = G_INET_SOCKET_ADDRESS(local.get());
    char* text = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    std::string found = fmt::format("{}:{}", text, g_inet_socket_address_get_port(inet));
    g_free(text);
    return found;
}

std::size_t http_server::open_connections() const
{
    return state_->connections.size();
}

std::size_t http_server::open_exchanges() const
{
    return static_cast<std::size_t>(
        std::count_if(state_->connections.begin(), state_->connections.end(), [](const auto& it) {
            return it.second.phase == connection_phase::answering;
        }));
}

std::uint64_t http_server::refused_connections() const
{
    return state_->refused;
}

std::uint64_t http_server::slow_connections() const
{
    return state_->closed_slow;
}

void http_server::stop_accepting()
{
    state_->stop_accepting();
}

} // namespace cactusloom
