#include "net/stream_http_server.h"

#include "base/log.h"
#include "net/tcp_stream.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <fmt/format.h>
#include <optional>
#include <unordered_set>
#include <vector>

namespace cactusloom {

namespace http = boost::beast::http;

namespace {

constexpr duration sweep_interval = std::chrono::seconds{1};

std::string_view reason_phrase(int status)
{
    const auto text = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

std::string lower(std::string_view text)
{
    std::string out(text);
    for (char& c : out) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return out;
}

} // namespace

std::string_view received_request::header(std::string_view name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view{} : std::string_view(it->second);
}

struct stream_http_server::state {
    poller* events = nullptr;
    timer_service* timers = nullptr;
    std::unique_ptr<tcp_listener> listener;
    request_handler on_request;
    stream_http_server_limits limits;
    std::unordered_set<std::shared_ptr<connection>> connections;
    std::size_t open_requests = 0;
    bool draining = false;
    timer_id sweep_timer = 0;

    void sweep();
};

// One accepted connection.
class stream_http_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(state& server, std::shared_ptr<tcp_stream> stream)
        : server_(server), stream_(std::move(stream)), state_since_(server.timers->monotonic_now())
    {
    }

    void set_handlers();
    void answer(int status, std::string_view body, const header_list& headers);
    void end();
    bool is_busy() const { return exchange_ != nullptr; }
    void sweep(monotonic_time now);

private:
    void receive(std::string_view data);
    void parse();
    void reject(int status);
    void dispatch();

    state& server_;
    std::shared_ptr<tcp_stream> stream_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::string input_;
    std::shared_ptr<http_responder::exchange> exchange_;
    monotonic_time state_since_; // when the connection became idle or the current request started
    bool keep_alive_ = true;
};

struct http_responder::exchange {
    std::weak_ptr<stream_http_server::connection> connection;
    std::function<void()> on_disconnect;
};

void http_responder::on_client_disconnect(std::function<void()> fn) const
{
    exchange_->on_disconnect = std::move(fn);
}

void http_responder::answer(int status, std::string_view body, const header_list& headers) const
{
    exchange_->on_disconnect = nullptr;
    if (const auto it = std::exchange(exchange_->connection, {}).lock()) {
        it->answer(status, body, headers);
    }
}

void http_responder::close_without_reply() const
{
    exchange_->on_disconnect = nullptr;
    if (const auto it = std::exchange(exchange_->connection, {}).lock()) {
        it->end();
    }
}

void stream_http_server::connection::set_handlers()
{
    stream_->on_data = [this](std::string_view data) { receive(data); };
    stream_->on_closed = [this] { end(); };
}

void stream_http_server::connection::receive(std::string_view data)
{
    if (input_.empty() && !parser_ && !is_busy()) {
        state_since_ = server_.timers->monotonic_now();
    }
    input_.append(data);
    const std::size_t bound =
        std::size_t{server_.limits.header_bytes} + server_.limits.body_bytes + 4096;
    if (input_.size() > bound) {
        end();
        return;
    }
    if (!is_busy()) {
        parse();
    }
}

void stream_http_server::connection::parse()
{
    const auto self = shared_from_this();
    while (!input_.empty() && !is_busy() && stream_->is_open()) {
        if (!parser_) {
            parser_.emplace();
            parser_->eager(true);
            parser_->header_limit(server_.limits.header_bytes);
            parser_->body_limit(server_.limits.body_bytes);
        }
        boost::system::error_code ec;
        const auto n = parser_->put(boost::asio::const_buffer(input_.data(), input_.size()), ec);
        input_.erase(0, n);
        if (ec == http::error::need_more) {
            return;
        }
        if (ec == http::error::header_limit) {
            reject(431);
            return;
        }
        if (ec == http::error::body_limit) {
            reject(413);
            return;
        }
        if (ec) {
            reject(400);
            return;
        }
        if (!parser_->is_done()) {
            return;
        }
        dispatch();
    }
}

void stream_http_server::connection::dispatch()
{
    auto message = parser_->release();
    parser_.reset();
    keep_alive_ = message.keep_alive();
    received_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers[lower({field.name_string().data(), field.name_string().size()})] =
            std::string(field.value());
    }
    request.body = std::move(message.body());
    exchange_ = std::make_shared<http_responder::exchange>();
    exchange_->connection = weak_from_this();
    ++server_.open_requests;
    http_responder responder;
    responder.exchange_ = exchange_;
    server_.on_request(std::move(request), responder);
}

void stream_http_server::connection::reject(int status)
{
    keep_alive_ = false;
    exchange_ = std::make_shared<http_responder::exchange>();
    ++server_.open_requests;
    answer(status, "{}", {});
}

void stream_http_server::connection::answer(int status, std::string_view body,
                                            const header_list& headers)
{
    exchange_.reset();
    --server_.open_requests;
    const bool keep = keep_alive_ && !server_.draining;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", status,
                                   reason_phrase(status), body.size());
    const bool has_content_type =
        std::ranges::any_of(headers, [](const auto& it) { return it.first == "Content-Type"; });
    if (!has_content_type) {
        text += "Content-Type: application/json\r\n";
    }
    for (const auto& [name, value] : headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += keep ? "\r\n" : "Connection: close\r\n\r\n";
    text += body;
    stream_->write(text);
    state_since_ = server_.timers->monotonic_now();
    if (keep && !input_.empty()) {
        server_.events->defer([self = shared_from_this()] {
            if (!self->is_busy()) {
                self->parse();
            }
        });
    }
    // A connection to be closed stays open until the answer is sent; the sweep closes it.
}

void stream_http_server::connection::end()
{
    const auto self = shared_from_this();
    stream_->on_data = nullptr;
    stream_->on_closed = nullptr;
    stream_->close();
    server_.connections.erase(self);
    if (const auto it = std::exchange(exchange_, nullptr)) {
        --server_.open_requests;
        it->connection.reset();
        if (const auto fn = std::exchange(it->on_disconnect, nullptr)) {
            fn();
        }
    }
}

void stream_http_server::connection::sweep(monotonic_time now)
{
    if (is_busy()) {
        return;
    }
    const bool receiving = parser_.has_value() || !input_.empty();
    const auto limit = receiving ? server_.limits.header_timeout : server_.limits.idle_timeout;
    const bool closing = !keep_alive_ && !receiving && stream_->unsent() == 0;
    if (now - state_since_ > limit || (closing && now - state_since_ > sweep_interval) ||
        (server_.draining && !receiving && now - state_since_ > sweep_interval)) {
        end();
    }
}

void stream_http_server::state::sweep()
{
    sweep_timer = timers->schedule(sweep_interval, [this] { sweep(); });
    const auto now = timers->monotonic_now();
    const std::vector<std::shared_ptr<connection>> all(connections.begin(), connections.end());
    for (const auto& it : all) {
        it->sweep(now);
    }
}

result<std::unique_ptr<stream_http_server>> stream_http_server::listen(poller& events,
                                                                       timer_service& timers,
                                                                       std::string_view address,
                                                                       request_handler fn)
{
    auto own = std::make_unique<state>();
    auto* it = own.get();
    it->events = &events;
    it->timers = &timers;
    it->on_request = std::move(fn);
    auto listener = tcp_listener::listen(events, address, [it](std::shared_ptr<tcp_stream> stream) {
        if (it->connections.size() >= it->limits.connections) {
            return; // dropping the stream closes it
        }
        const auto accepted = std::make_shared<connection>(*it, std::move(stream));
        it->connections.insert(accepted);
        accepted->set_handlers();
    });
    if (!listener) {
        return listener.error();
    }
    it->listener = std::move(listener.value());
    it->sweep();
    return std::unique_ptr<stream_http_server>(new stream_http_server(std::move(own)));
}

stream_http_server::stream_http_server(std::unique_ptr<state> state) : state_(std::move(state)) {}

stream_http_server::~stream_http_server()
{
    state_->timers->cancel(state_->sweep_timer);
    const auto connections = std::exchange(state_->connections, {});
    for (const auto& it : connections) {
        it->end();
    }
}

void stream_http_server::set_limits(const stream_http_server_limits& limits)
{
    state_->limits = limits;
}

void stream_http_server::begin_drain()
{
    state_->draining = true;
}

std::size_t stream_http_server::connection_count() const
{
    return state_->connections.size();
}

std::size_t stream_http_server::open_requests() const
{
    return state_->open_requests;
}

int stream_http_server::port() const
{
    return state_->listener->port();
}

} // namespace cactusloom
