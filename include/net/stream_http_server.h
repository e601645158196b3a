#pragma once

#include "base/result.h"
#include "base/timer_service.h"
#include "net/http_message.h"
#include "net/poller.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// Limits of a server, from the active configuration.
struct stream_http_server_limits {
    std::uint32_t header_bytes = 16384;
    std::uint32_t body_bytes = 262144;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
    std::size_t connections = 3000;
};

// A received request. Header names are in lower case.
struct received_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string, std::less<>> headers;
    std::string body;

    // Value of a header, empty if absent.
    std::string_view header(std::string_view name) const;
};

// Answers one request, immediately or later. Copies refer to the same request; only the first
// answer is sent.
class http_responder {
public:
    // Sets the handler that is called at most once, if the caller disconnects before the answer.
    void on_client_disconnect(std::function<void()> fn) const;

    // Sends the answer. The content type is application/json unless `headers` has a Content-Type.
    void answer(int status, std::string_view body, const header_list& headers = {}) const;

    // Closes the connection without an answer: the caller cannot tell whether the request ran.
    void close_without_reply() const;

private:
    friend class stream_http_server;
    struct exchange;
    std::shared_ptr<exchange> exchange_;
};

// HTTP/1.1 server that handles one request at a time per connection.
class stream_http_server {
public:
    using request_handler = std::function<void(received_request, http_responder)>;
    class connection;

    // Listens on `address`, an "ip:port"; port 0 lets the kernel choose. `fn` receives every
    // request.
    static result<std::unique_ptr<stream_http_server>>
    listen(poller& events, timer_service& timers, std::string_view address, request_handler fn);

    ~stream_http_server();
    stream_http_server(const stream_http_server&) = delete;
    stream_http_server& operator=(const stream_http_server&) = delete;

    void set_limits(const stream_http_server_limits& limits);

    // From now on, closes idle connections, and every other connection after its answer.
    void begin_drain();

    std::size_t connection_count() const;
    std::size_t open_requests() const;
    int port() const;

private:
    struct state;
    explicit stream_http_server(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace cactusloom
