#pragma once

#include "base/timer_service.h"
#include "cell/instance_mesh.h"
#include "cell/keyed_follower.h"
#include "cell/keyed_log.h"

#include <map>
#include <memory>
#include <string>

namespace cactusloom {

// Service discovery for the instances of a deployment through the platform's log: each one writes
// its own address and reads those of the others.
class instance_registry {
public:
    instance_registry(timer_service& timers, keyed_log& log, instance_mesh& mesh);
    ~instance_registry();
    instance_registry(const instance_registry&) = delete;
    instance_registry& operator=(const instance_registry&) = delete;

    void start();

    // Called after each successful read of the list.
    std::function<void()> on_read = [] {};

private:
    void write();
    void check();

    timer_service& timers_;
    keyed_log& log_;
    instance_mesh& mesh_;
    keyed_follower follower_;
    std::map<std::string, monotonic_time> last_refresh_;
    timer_id write_timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
