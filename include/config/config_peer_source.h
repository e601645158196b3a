#pragma once

#include "platform/log_service.h"

#include <functional>
#include <string>
#include <vector>

namespace cactusloom {

// Other instances as a source of configuration while the log cannot be read.
class config_peer_source {
public:
    using callback = std::function<void(std::vector<std::string>)>;

    config_peer_source() = default;
    config_peer_source(const config_peer_source&) = delete;
    config_peer_source& operator=(const config_peer_source&) = delete;
    virtual ~config_peer_source() = default;

    // Asks some reachable peers for config_follower::state_for_peer(newer_than) and calls back once
    // with the states that arrived. Empty texts mean that a peer has nothing newer.
    virtual void fetch(log_offset newer_than, callback done) = 0;
};

} // namespace cactusloom
