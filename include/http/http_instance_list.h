#pragma once

#include "http/http_client.h"
#include "platform/instance_list.h"

#include <string>

namespace cactusloom {

// Reads the platform's instance list over HTTP; see docs/platform.md.
class http_instance_list final : public instance_list {
public:
    // `timers` must outlive the list.
    http_instance_list(timer_service& timers, std::string address);

    void fetch(callback done) override;

private:
    http_client client_;
    std::string address_;
};

} // namespace cactusloom
