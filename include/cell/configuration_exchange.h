#pragma once

#include "base/timer_service.h"
#include "cell/instance_mesh.h"
#include "metrics/latency_histogram.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cactusloom {

// Distributes the configuration between instances. Candidates for control read it from the
// platform's log as soon as it changes; an instance that learns of a newer version than its own
// requests it from one of the peers that have it. The requests are spread over these peers and go
// to another one if no reply arrives.
class configuration_exchange {
public:
    configuration_exchange(timer_service& timers, instance_mesh& mesh);
    ~configuration_exchange();
    configuration_exchange(const configuration_exchange&) = delete;
    configuration_exchange& operator=(const configuration_exchange&) = delete;

    // Sets the configuration in force here, in the platform's form; `offset` is that of its record.
    void set_current(std::int64_t version, std::string text, std::uint64_t offset);

    // Returns false if the message is not about the configuration.
    bool on_message(const std::string& peer, const Json::Value& message,
                    const instance_mesh::sender& reply);

    // Time from a peer's announcement of a newer version until one was in force here.
    const latency_histogram& delays() const { return delays_; }

    // Called with a configuration received from a peer; the platform's records before `next_offset`
    // are not newer.
    std::function<void(const std::string& text, std::uint64_t next_offset)> on_configuration;

private:
    void schedule_request(duration delay);
    void request_newer();

    timer_service& timers_;
    instance_mesh& mesh_;
    std::int64_t version_ = -1;
    std::string text_;
    std::uint64_t next_offset_ = 0;
    std::uint64_t attempts_ = 0;                 // since the version in force was set
    std::optional<monotonic_time> announced_at_; // of a newer version than the one in force
    latency_histogram delays_;
    timer_id timer_ = 0; // 0: no request is scheduled
};

} // namespace cactusloom
