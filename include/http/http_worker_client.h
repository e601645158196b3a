#pragma once

#include "http/http_client.h"
#include "platform/worker_client.h"

#include <memory>
#include <string>
#include <vector>

namespace cactusloom {

struct worker_settings;

// Sends tasks to workers over HTTP; see docs/platform.md. A worker id is an index into the list of
// workers.
class http_worker_client final : public worker_client {
public:
    // `timers` must outlive the client.
    http_worker_client(timer_service& timers, const std::vector<worker_settings>& workers);

    // Replaces the list of workers. Requests in flight keep their address.
    void set_workers(const std::vector<worker_settings>& workers);

    void start(worker_id worker, const start_request& request, callback done) override;
    void renew(worker_id worker, std::string_view task_id, duration lease) override;
    void stop(worker_id worker, std::string_view task_id) override;

private:
    http_client client_;
    std::vector<std::string> addresses_;
};

} // namespace cactusloom
