#pragma once

#include "stand_in/worker_stand_in.h"

#include <vector>

namespace cactusloom {

// Calls worker stand-ins in the same process without a network. Worker ids are indexes into the
// list. Network faults appear as lost replies.
class worker_stand_in_client final : public worker_client {
public:
    using workers = std::vector<std::shared_ptr<worker_stand_in>>;

    // `timers` must outlive the client.
    worker_stand_in_client(timer_service& timers, workers targets);

    void start(worker_id worker, const start_request& request, callback done) override;
    void renew(worker_id worker, std::string_view task_id, duration lease) override;
    void stop(worker_id worker, std::string_view task_id) override;

    // Replaces the list of workers, for a changed configuration.
    void set_workers(workers targets) { workers_ = std::move(targets); }
    const workers& targets() const { return workers_; }

private:
    timer_service& timers_;
    workers workers_;
};

} // namespace cactusloom
