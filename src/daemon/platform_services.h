#pragma once

#include "base/result.h"
#include "base/timer_service.h"
#include "config/deployment.h"
#include "daemon/settings.h"
#include "platform/instance_list.h"
#include "platform/log_service.h"
#include "platform/worker_client.h"

#include <memory>

namespace cactusloom {

// Services of the platform as selected by the settings: over HTTP, or in-process stand-ins if no
// address is given.
class platform_services {
public:
    // `timers` must outlive the services. Error `invalid_argument`: unknown worker mode.
    static result<std::unique_ptr<platform_services>> make(const daemon_settings& settings,
                                                           timer_service& timers);
    platform_services() = default;
    platform_services(const platform_services&) = delete;
    platform_services& operator=(const platform_services&) = delete;
    virtual ~platform_services() = default;

    virtual log_service& log() = 0;
    virtual instance_list* list() = 0; // null if there is none
    virtual worker_client& workers() = 0;

    // Applies the workers of a new configuration. Indexes of workers stay the same.
    virtual void apply(const deployment& settings) = 0;
};

} // namespace cactusloom
