#pragma once

#include "base/timer_service.h"
#include "net/http_message.h"
#include "net/poller.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace cactusloom {

// HTTP/1.1 client with a pool of keep-alive connections and one request at a time on each. It never
// resends a request. A connection is closed when a request on it times out, so that a dead
// connection costs at most one request.
class pooled_http_client {
public:
    using outcome = std::variant<http_response, call_failure>;
    using callback = std::function<void(outcome)>;

    pooled_http_client(poller& events, timer_service& timers);
    ~pooled_http_client();
    pooled_http_client(const pooled_http_client&) = delete;
    pooled_http_client& operator=(const pooled_http_client&) = delete;

    // Sends a request to `address`, an "ip:port". The request fails if the peer neither opens the
    // connection nor sends a byte of the reply for `limit`. `fn` runs later on the event loop,
    // exactly once unless the client is destroyed first.
    void call(const std::string& address, const http_request& request, duration limit, callback fn);

    // Closes the idle connections to an address.
    void close_idle_connections(const std::string& address);

    // Number of connections opened so far, for the metrics.
    std::uint64_t connections_opened() const { return connections_opened_; }

private:
    class connection;
    struct pool;

    poller& events_;
    timer_service& timers_;
    std::map<std::string, std::unique_ptr<pool>, std::less<>> pools_;
    std::uint64_t connections_opened_ = 0;
};

} // namespace cactusloom
