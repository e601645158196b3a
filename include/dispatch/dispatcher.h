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

// Identity and limits of this instance.
struct dispatcher_options {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::uint64_t checksum_key = 0; // for submission ids; the same on all instances
    std::uint64_t seed = 0;
    double share = 1.0;                          // fraction of the total load, 0 to 1
    std::size_t max_remembered_ids = 4'000'000;  // further jobs are refused
    std::size_t max_retained_bytes = 256U << 20; // of finished answers; the oldest go first
    duration reply_grace = std::chrono::milliseconds{250}; // wait for replies after the deadline
};

// Runs jobs: accepts submissions, queues their tasks, starts the tasks on workers, collects their
// answers and reports the job when it has completed or failed. Single-threaded.
class dispatcher final : public job_service {
public:
    // All must outlive the dispatcher, and the worker client must not run a callback after the
    // dispatcher is destroyed. `observer` and `metrics` may be null.
    struct dependencies {
        worker_client& workers;
        router& task_router;
        timer_service& timers;
        job_observer* observer = nullptr;
        counters* metrics = nullptr;
    };

    dispatcher(const deployment& settings, dispatcher_options options, const dependencies& deps);
    ~dispatcher() override;

    // The new settings must have been applied to the router first, since it is queried about new
    // kinds at once.
    void apply(const deployment& settings) override;
    result<void> submit(submission_request request) override;
    void wait(std::string_view id, duration limit, answer_callback done) override;
    result<job_status> status(std::string_view id) const override;
    result<void> cancel(std::string_view id) override;
    std::string issue_prefix() override;
    void shut_down(std::function<void()> drained) override;

    // Changes this instance's share of the team quotas. Called when the membership changes.
    void set_share(double share);

    std::size_t open_jobs() const;
    std::size_t queued_tasks() const;

    // Approximate memory used by open jobs, retained answers and remembered ids.
    std::size_t bytes() const;

    // Time from receipt to answer, over completed jobs.
    const latency_recorder& latency() const;

private:
    class engine;
    std::unique_ptr<engine> engine_;
};

} // namespace cactusloom
