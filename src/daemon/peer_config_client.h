#pragma once

#include "base/random.h"
#include "config/config_peer_source.h"

#include <functional>
#include <string>
#include <vector>

namespace cactusloom {

class member_table;
class peer_transport;
class timer_service;

// Fetches the configuration state from up to three random reachable members.
class peer_config_client final : public config_peer_source {
public:
    // The references must outlive this object. `members` is called for each fetch.
    peer_config_client(timer_service& timers, peer_transport& transport,
                       std::function<const member_table&()> members, std::uint32_t seed)
        : timers_(timers), transport_(transport), members_(std::move(members)), random_(seed)
    {
    }

    void fetch(log_offset newer_than, callback done) override;

private:
    timer_service& timers_;
    peer_transport& transport_;
    std::function<const member_table&()> members_;
    random_engine random_;
};

} // namespace cactusloom
