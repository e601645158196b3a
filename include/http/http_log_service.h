#pragma once

#include "http/http_client.h"
#include "platform/log_service.h"

#include <string>

namespace cactusloom {

// Accesses the platform's log over HTTP; see docs/platform.md. It never retries: the users of the
// log know which operations are safe to retry.
class http_log_service final : public log_service {
public:
    // `timers` must outlive the service.
    http_log_service(timer_service& timers, std::string address);

    void append(std::string_view stream, std::string content, append_callback done) override;
    void read(std::string_view stream, log_offset from, std::size_t max_records,
              read_callback done) override;

private:
    http_client client_;
    std::string address_;
};

} // namespace cactusloom
