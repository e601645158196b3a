#include "net/pooled_http_client.h"

#include "base/log.h"
#include "net/tcp_stream.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>
#include <list>
#include <optional>
#include <vector>

namespace cactusloom {

namespace http = boost::beast::http;

namespace {

// Peers close idle connections after 15 s by default; a shorter limit avoids sending a request
// while the peer closes the connection.
constexpr duration idle_limit = std::chrono::seconds{9};
constexpr std::uint64_t max_reply_bytes = 8U << 20U;

std::string serialize(const std::string& address, const http_request& request)
{
    std::string text =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", request.method, request.target, address);
    for (const auto& [name, value] : request.headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!request.body.empty() || request.method == "POST") {
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    text += "\r\n";
    text += request.body;
    return text;
}

} // namespace

// One connection with at most one request in flight.
class pooled_http_client::connection : public std::enable_shared_from_this<connection> {
public:
    connection(pooled_http_client& client, pool& address_pool, std::shared_ptr<tcp_stream> stream)
        : client_(client), pool_(address_pool), stream_(std::move(stream))
    {
    }

    ~connection()
    {
        client_.timers_.cancel(limit_timer_);
        stream_->on_connected = nullptr;
        stream_->on_data = nullptr;
        stream_->on_closed = nullptr;
        stream_->close();
    }

    void set_handlers()
    {
        stream_->on_connected = [this] {
            connected_ = true;
            progress_at_ = client_.timers_.monotonic_now();
        };
        stream_->on_data = [this](std::string_view data) { receive(data); };
        stream_->on_closed = [this] { on_closed(); };
    }

    void send(const std::string& text, duration limit, callback fn)
    {
        fn_ = std::move(fn);
        received_ = 0;
        sent_at_ = client_.timers_.monotonic_now();
        progress_at_ = sent_at_;
        limit_ = limit;
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(max_reply_bytes);
        stream_->write(text);
        limit_timer_ = client_.timers_.schedule(limit_, [this] { check_limit(); });
    }

    bool is_usable(monotonic_time now) const
    {
        return stream_->is_open() && now - idle_since_ < idle_limit;
    }

private:
    void receive(std::string_view data);
    void check_limit();
    void on_closed();
    void finish(outcome value, bool keep_alive);

    pooled_http_client& client_;
    pool& pool_;
    std::shared_ptr<tcp_stream> stream_;
    callback fn_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::string input_;
    std::size_t received_ = 0; // bytes of the current reply
    bool connected_ = false;
    timer_id limit_timer_ = 0;
    duration limit_{};
    monotonic_time sent_at_{};
    monotonic_time progress_at_{}; // when the peer was last known to respond
    monotonic_time idle_since_{};
};

struct pooled_http_client::pool {
    std::vector<std::shared_ptr<connection>> idle;
    std::list<std::shared_ptr<connection>> busy;
};

void pooled_http_client::connection::receive(std::string_view data)
{
    if (!fn_) { // data without a request: the stream is out of sync
        stream_->close();
        on_closed();
        return;
    }
    received_ += data.size();
    progress_at_ = client_.timers_.monotonic_now();
    input_.append(data);
    boost::system::error_code ec;
    const auto n = parser_->put(boost::asio::const_buffer(input_.data(), input_.size()), ec);
    input_.erase(0, n);
    if (ec && ec != http::error::need_more) {
        stream_->close();
        on_closed();
        return;
    }
    if (parser_->is_done()) {
        auto message = parser_->release();
        finish(http_response{static_cast<int>(message.result_int()), std::move(message.body())},
               message.keep_alive() && input_.empty());
    }
}

void pooled_http_client::connection::check_limit()
{
    const auto self = shared_from_this(); // the reply may end the last use of the connection
    limit_timer_ = 0;
    // A late event loop may not have come to this socket since the reply arrived.
    stream_->handle_pending();
    if (!fn_ || limit_timer_ != 0) { // answered, and perhaps in use for the next request
        return;
    }
    const auto left = progress_at_ + limit_ - client_.timers_.monotonic_now();
    if (left > duration::zero()) {
        limit_timer_ = client_.timers_.schedule(left, [this] { check_limit(); });
        return;
    }
    if (received_ != 0) {
        log_event("reply_cut_off", "received_bytes={} after_ms={}", received_,
                  (client_.timers_.monotonic_now() - sent_at_).count() / 1000);
    }
    stream_->close();
    on_closed();
}

void pooled_http_client::connection::on_closed()
{
    // Nothing is sent before the connection is established.
    finish(connected_ ? call_failure::reply_lost : call_failure::not_sent, false);
}

void pooled_http_client::connection::finish(outcome value, bool keep_alive)
{
    const auto self = shared_from_this();
    client_.timers_.cancel(std::exchange(limit_timer_, 0));
    std::erase(pool_.idle, self);
    pool_.busy.remove(self);
    if (keep_alive) {
        idle_since_ = client_.timers_.monotonic_now();
        pool_.idle.push_back(self);
    }
    else {
        stream_->close();
    }
    if (const auto fn = std::exchange(fn_, nullptr)) {
        fn(std::move(value));
    }
}

pooled_http_client::pooled_http_client(poller& events, timer_service& timers)
    : events_(events), timers_(timers)
{
}

pooled_http_client::~pooled_http_client() = default;

void pooled_http_client::call(const std::string& address, const http_request& request,
                              duration limit, callback fn)
{
    auto& address_pool = pools_[address];
    if (!address_pool) {
        address_pool = std::make_unique<pool>();
    }
    const auto text = serialize(address, request);
    const auto now = timers_.monotonic_now();
    while (!address_pool->idle.empty()) {
        auto it = std::move(address_pool->idle.back());
        address_pool->idle.pop_back();
        if (it->is_usable(now)) {
            address_pool->busy.push_back(it);
            it->send(text, limit, std::move(fn));
            return;
        }
    }
    auto stream = tcp_stream::connect(events_, address);
    if (!stream) {
        log_event("connect_failed", "address={} reason=\"{}\"", address, stream.error().message);
        timers_.schedule(duration::zero(), [fn = std::move(fn)] { fn(call_failure::not_sent); });
        return;
    }
    ++connections_opened_;
    const auto it = std::make_shared<connection>(*this, *address_pool, stream.value());
    it->set_handlers();
    address_pool->busy.push_back(it);
    it->send(text, limit, std::move(fn));
}

void pooled_http_client::close_idle_connections(const std::string& address)
{
    if (const auto it = pools_.find(address); it != pools_.end()) {
        it->second->idle.clear();
    }
}

} // namespace cactusloom
