#pragma once

#include "base/result.h"
#include "daemon/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusloom {

class timer_service;

// One entry instance: owns all components of the process and serves callers and peers on one
// socket.
class instance {
public:
    // Creates the components and listens. `timers` must outlive the instance. Errors: `unavailable`
    // (address in use), `invalid_argument` (configuration document or settings).
    static result<std::unique_ptr<instance>> start(const daemon_settings& settings,
                                                   timer_service& timers);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    std::string address() const;

    // Rejects new work, finishes running work, then calls `stopped`.
    void shut_down(std::function<void()> stopped);

private:
    struct components;
    explicit instance(std::unique_ptr<components> components);
    std::unique_ptr<components> components_;
};

} // namespace cactusloom
