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

// HTTP/1.1 client with kept-alive connections, one call at a time on each. It never sends a call
// twice. A connection whose call ran into its time limit is closed, so that a silent connection
// is used once at most.
class pooled_http_client {
public:
    using outcome = std::variant<http_response, call_failure>;
    using callback = std::function<void(outcome)>;

    pooled_http_client(poller& events, timer_service& timers);
    ~pooled_http_client();
    pooled_http_client(const pooled_http_client&) = delete;
    pooled_http_client& operator=(const pooled_http_client&) = delete;

    // Calls "ip:port". `fn` runs later on the loop, exactly once, unless the client is destroyed.
    void call(const std::string& address, const http_request& request, duration limit, callback fn);

    // Closes the idle connections to an address.
    void close_idle_connections(const std::string& address);

    // Connections opened so far, for the metrics.
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
