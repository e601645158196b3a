#pragma once

#include "http/http_client.h"
#include "platform/log_service.h"

#include <string>

namespace cactusloom {

// Reaches the platform's log by HTTP, as docs/platform.md describes. Repeats nothing by itself:
// the users of the log know which repetitions are harmless.
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
