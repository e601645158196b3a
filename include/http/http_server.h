#pragma once

#include "base/result.h"
#include "base/timer_service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// Limits that keep one caller from starving the others.
struct http_server_limits {
    std::size_t max_body_bytes = 1U << 20U;
    std::size_t max_connections = 4096;
    duration header_timeout =
        std::chrono::seconds{60}; // for a whole header, since accept or the last reply
    duration body_timeout =
        std::chrono::seconds{10}; // for a whole body, since the end of the header
};

// One request and its reply. It may be answered at any later time; a reply to a disconnected caller
// is discarded.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    virtual std::string_view method() const = 0;
    virtual std::string_view path() const = 0; // decoded, without the query
    virtual std::string_view body() const = 0;
    virtual std::string_view header(const char* name) const = 0; // empty if there is none
    virtual std::string query(const char* name) const = 0;       // empty if there is none
    virtual std::string raw_query() const = 0;                   // as sent, without the '?'

    virtual void set_header(const char* name, const std::string& value) = 0;
    // Sends the reply. Later calls have no effect.
    virtual void reply(unsigned status, std::string_view body,
                       const char* content_type = "application/json") = 0;
    // Closes the connection without a reply.
    virtual void close_without_reply() = 0;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

// HTTP/1.1 server on the event loop of the calling thread, with limits on body size, connections
// and time.
class http_server {
public:
    using handler = std::function<void(http_exchange_ptr)>;

    // Binds and listens; port 0 lets the kernel choose. `timers` must outlive the server.
    // Error `unavailable`: the address cannot be bound.
    static result<std::unique_ptr<http_server>> listen(const std::string& address,
                                                       timer_service& timers,
                                                       http_server_limits limits,
                                                       handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::string address() const; // "ip:port" with the bound port
    std::size_t open_connections() const;
    std::size_t open_exchanges() const;        // received but not answered yet
    std::uint64_t refused_connections() const; // closed on accept: over max_connections
    std::uint64_t slow_connections() const;    // closed: a request took too long to arrive

    // Closes the listening socket; open connections stay.
    void stop_accepting();

    struct state;

private:
    explicit http_server(std::unique_ptr<state> state);
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
