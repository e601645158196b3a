#pragma once

#include "base/timer_service.h"
#include "cell/instance_mesh.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cactusloom {

// Passes the configuration on between instances. Candidates for control read it from the platform's
// log as soon as it changes; an instance that hears of a newer version than its own asks one of
// those that have it. The askers spread over them, and ask another one if no answer comes.
class configuration_exchange {
public:
    configuration_exchange(timer_service& timers, instance_mesh& mesh);
    ~configuration_exchange();
    configuration_exchange(const configuration_exchange&) = delete;
    configuration_exchange& operator=(const configuration_exchange&) = delete;

    // What is in force here from now on, as the platform has it; `offset` is that of its record.
    void set_current(std::int64_t version, std::string text, std::uint64_t offset);

    // Returns false if the message is not about the configuration.
    bool on_message(const std::string& peer, const Json::Value& message,
                    const instance_mesh::sender& reply);

    // Called with a text that a peer has passed on; the platform's records before `next_offset` are
    // not newer.
    std::function<void(const std::string& text, std::uint64_t next_offset)> on_configuration;

private:
    void schedule_request(duration delay);
    void request_newer();

    timer_service& timers_;
    instance_mesh& mesh_;
    std::int64_t version_ = -1;
    std::string text_;
    std::uint64_t next_offset_ = 0;
    std::uint64_t attempts_ = 0; // since the version in force was taken over
    timer_id timer_ = 0;         // 0: nothing newer is known of
};

} // namespace cactusloom
