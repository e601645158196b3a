#pragma once

#include "base/timer_service.h"
#include "platform/instance_list.h"

namespace cactusloom {

// In-memory instance list of the platform. Replies are delivered asynchronously.
class memory_instance_list final : public instance_list {
public:
    explicit memory_instance_list(timer_service& timers) : timers_(timers) {}

    void fetch(callback done) override;

    void set_instances(std::vector<listed_instance> instances)
    {
        instances_ = std::move(instances);
    }
    // While down, a fetch fails with `unavailable`.
    void set_down(bool down) { down_ = down; }

private:
    timer_service& timers_;
    std::vector<listed_instance> instances_;
    bool down_ = false;
};

} // namespace cactusloom
