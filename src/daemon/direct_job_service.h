#pragma once

#include "base/timer_service.h"
#include "config/deployment.h"
#include "dispatch/job_service.h"
#include "platform/worker_client.h"

#include <map>
#include <memory>
#include <string>

namespace cactusloom {

// Starts each task at once on the next worker. Stands in until the dispatcher is merged.
class direct_job_service final : public job_service {
public:
    direct_job_service(timer_service& timers, worker_client& workers, const deployment& settings);

    void apply(const deployment& /*settings*/) override {}
    result<void> submit(job_request request) override;
    void wait(std::string_view id, duration limit, answer_callback done) override;
    result<job_status> status(std::string_view id) const override;
    result<void> cancel(std::string_view id) override;
    std::string issue_prefix() override { return "direct"; }
    void shut_down(std::function<void()> drained) override;

private:
    struct job;
    void end_task(const std::shared_ptr<job>& it, std::size_t n, const start_reply& reply);

    timer_service& timers_;
    worker_client& workers_;
    const deployment& settings_;
    std::map<std::string, std::shared_ptr<job>, std::less<>> jobs_;
    worker_id next_worker_ = 0;
};

} // namespace cactusloom
