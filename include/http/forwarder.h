#pragma once

#include "entry/submission_locator.h"
#include "http/http_client.h"
#include "http/http_server.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

// Forwards requests to the instance that owns their submission id: one hop, plain HTTP. A forwarded
// request is never forwarded again.
class forwarder {
public:
    using find_owner = std::function<submission_location(std::string_view id)>;
    using prefix_source = std::function<std::string()>;

    // `timers` must outlive the forwarder.
    forwarder(timer_service& timers, std::string own_name, find_owner find, prefix_source prefix);

    // Returns true and answers the exchange if another instance owns the id. Answers with state
    // `unknown` if that instance is gone, is unreachable or does not reply.
    bool forward(const http_exchange_ptr& exchange, std::string_view id);

    struct counters {
        std::uint64_t forwarded = 0;
        std::uint64_t owner_gone = 0;
        std::uint64_t owner_silent = 0;
    };
    const counters& counts() const { return counts_; }

private:
    http_client client_;
    std::string own_name_;
    find_owner find_;
    prefix_source prefix_;
    counters counts_;
};

} // namespace cactusloom
