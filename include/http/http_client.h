#pragma once

#include "base/timer_service.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cactusloom {

// A request. The client never resends it on its own.
struct http_call {
    std::string method = "GET";
    std::string address; // "ip:port"
    std::string target;  // path and query, encoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    duration limit = std::chrono::seconds{10}; // timeout of the whole exchange
    bool fresh_connection = false;
};

enum class http_outcome {
    replied,
    not_sent,   // no byte of the request was sent
    reply_lost, // the request may have been received
};

struct http_reply {
    http_outcome end = http_outcome::reply_lost;
    unsigned status = 0;
    std::string body;
    std::string reason;                             // why there is no reply
    bool timed_out = false;                         // `limit` of the call expired
    std::function<std::string(const char*)> header; // valid only during the callback
};

struct http_client_options {
    std::size_t max_connections = 4096;
    std::size_t max_connections_per_address = 64;
};

// Nonblocking HTTP/1.1 client with keep-alive connections on the event loop of the calling thread.
// A connection is closed when its request times out.
class http_client {
public:
    using callback = std::function<void(const http_reply&)>;

    // `timers` must outlive the client. Requests in flight at destruction are not reported.
    http_client(timer_service& timers, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Sends a request. `done` is called exactly once, never from inside send().
    void send(const http_call& call, callback done);

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace cactusloom
