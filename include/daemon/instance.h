#pragma once

#include "base/result.h"
#include "daemon/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusloom {

class timer_service;

// One entry instance: the object graph behind a listening socket.
class instance {
public:
    // Builds the graph and listens. `timers` must outlive the instance.
    // Errors: `unavailable` (address in use), `invalid_argument` (document or settings).
    static result<std::unique_ptr<instance>> start(const daemon_settings& settings,
                                                   timer_service& timers);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    std::string address() const;

    // Refuses new work, finishes what is running, then calls `stopped`.
    void shut_down(std::function<void()> stopped);

private:
    struct components;
    explicit instance(std::unique_ptr<components> components);
    std::unique_ptr<components> components_;
};

} // namespace cactusloom
