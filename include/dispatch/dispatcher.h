#pragma once

#include "base/timer_service.h"
#include "config/deployment.h"
#include "dispatch/job_service.h"

#include <memory>

namespace cactusloom {

class counters;
class job_observer;
class latency_recorder;
class router;
class worker_client;

// Facts about this instance that the daemon supplies.
struct dispatcher_options {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::uint64_t checksum_key = 0; // shared by the instances of the deployment
    std::uint64_t seed = 0;
    double share = 1.0;                          // this instance's part of the load, 0 to 1
    std::size_t max_remembered_ids = 4'000'000;  // new jobs are refused beyond it
    std::size_t max_retained_bytes = 256U << 20; // finished answers; the oldest are dropped first
    duration reply_grace = std::chrono::milliseconds{250}; // wait for replies past the deadline
};

// Runs jobs: takes submissions, queues their tasks, starts each on a worker, collects the answers
// and replies once the answer is complete or marked failed. Single-threaded.
class dispatcher final : public job_service {
public:
    // What the dispatcher works with. All must outlive it except that the worker client must not
    // run a callback after the dispatcher is gone. `observer` and `metrics` may be null.
    struct dependencies {
        worker_client& workers;
        router& task_router;
        timer_service& timers;
        job_observer* observer = nullptr;
        counters* metrics = nullptr;
    };

    dispatcher(const deployment& settings, dispatcher_options options, const dependencies& with);
    ~dispatcher() override;

    // The router must have taken the document before, since it is asked about new kinds at once.
    void apply(const deployment& settings) override;
    result<void> submit(job_request request) override;
    void wait(std::string_view id, duration limit, answer_callback done) override;
    result<job_status> status(std::string_view id) const override;
    result<void> cancel(std::string_view id) override;
    std::string issue_prefix() override;
    void shut_down(std::function<void()> drained) override;

    // Changes this instance's part of the team quotas, when members come and go.
    void set_share(double share);

    std::size_t open_jobs() const;
    std::size_t queued_tasks() const;

    // Bytes held for open jobs, retained answers and remembered ids.
    std::size_t bytes() const;

    // Time from receipt to answer of completed jobs.
    const latency_recorder& latency() const;

private:
    class engine;
    std::unique_ptr<engine> engine_;
};

} // namespace cactusloom
