#pragma once

#include "base/timer_service.h"
#include "membership/peer_transport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// In-process network for peer requests. A link that is down drops messages silently, as a real
// network does; the sender only sees a timeout.
class memory_peer_network {
public:
    using reply_callback = std::function<void(std::string)>;
    using handler = std::function<void(std::string_view request, reply_callback reply)>;
    using link_rule = std::function<bool(std::string_view from, std::string_view to)>;

    explicit memory_peer_network(duration latency) : latency_(latency) {}

    // Connects an instance. Requests and replies are delivered through its own timer service, so
    // that a paused instance receives nothing until it resumes. The network must outlive the
    // transport.
    std::unique_ptr<peer_transport> connect(std::string address, timer_service& timers);

    // Sets the handler of requests to an address.
    void listen(const std::string& address, handler fn);

    // Drops all traffic to and from an address, as if its process had crashed.
    void disconnect(std::string_view address);

    // Sets the predicate that decides by addresses whether a message is delivered. The default
    // delivers all.
    void set_rule(link_rule rule) { rule_ = std::move(rule); }

private:
    class transport;
    struct endpoint {
        timer_service* timers = nullptr;
        handler serve;
        std::uint64_t generation = 0; // distinguishes a restarted process from its predecessor
    };

    struct open_call {
        peer_transport::callback done; // empty once it has run
        timer_id limit = 0;
    };
    struct caller {
        std::string address;
        std::uint64_t generation;
    };

    bool passes(std::string_view from, std::string_view to) const
    {
        return !rule_ || rule_(from, to);
    }
    endpoint* find(std::string_view address);
    void return_reply(const caller& to, std::string_view from,
                      const std::shared_ptr<open_call>& call, std::string reply);

    duration latency_;
    link_rule rule_;
    std::map<std::string, endpoint, std::less<>> endpoints_;
    std::uint64_t last_generation_ = 0;
};

} // namespace cactusloom
