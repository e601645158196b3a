#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusloom {

// Resources of a worker that one task occupies while it runs.
struct task_demand {
    std::int64_t cpu_millis = 0; // thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t gpus = 0;
};

// A group of identical tasks of a job.
struct job_step {
    std::uint32_t count = 0;
    task_demand demand;
    duration estimate{};              // the caller's rough estimate of one task's run time
    std::vector<std::uint32_t> after; // steps whose tasks must all be done first
    std::string required_label;       // the worker must have it; empty for any
    std::string data_rack;            // label of the rack that holds the data; empty for any
    std::uint32_t max_per_worker = 0; // tasks of the step at a time; 0 for no limit
};

// Settings of a job's queue in the configuration that the accepting instance had in force.
struct queue_terms {
    std::string queue;
    std::string service; // service of the workers that may run the tasks
    int priority = 0;    // 0 is the most urgent
    std::uint32_t attempts = 1;
    double stretch = 1.0;      // objective as a multiple of the run time of the critical path
    duration target_latency{}; // added to that multiple
};

// Workers, each by a 32-bit hash of its id: the set is sent with every claim.
using worker_set = std::set<std::uint32_t>;
std::uint32_t worker_id_hash(std::string_view id);

// An immutable worker_set that is cheap to copy. Every claim has one, and the claims are copied for
// every job.
class shared_worker_set {
public:
    shared_worker_set() = default;
    shared_worker_set(worker_set workers)
        : workers_(std::make_shared<const worker_set>(std::move(workers)))
    {
    }
    shared_worker_set(std::initializer_list<std::uint32_t> workers)
        : shared_worker_set(worker_set(workers))
    {
    }

    const worker_set& get() const
    {
        static const worker_set empty;
        return workers_ ? *workers_ : empty;
    }

    friend bool operator==(const shared_worker_set& a, const shared_worker_set& b)
    {
        return a.workers_ == b.workers_ || a.get() == b.get();
    }

private:
    std::shared_ptr<const worker_set> workers_;
};

// A submitted job.
struct job_request {
    std::string id;
    std::string payload; // opaque; passed to each task
    std::vector<job_step> steps;
    queue_terms terms;
    duration time_left{};       // until the caller stops waiting
    duration age{};             // time since the caller's submission arrived
    std::uint32_t run_base = 0; // starts are numbered from run_base + 1
    bool resumed = false;       // another controller may have started tasks of it
    worker_set former_workers;  // workers on which tasks of a resumed job may run
};

// A requester leases its jobs to their controller, and renews that lease with each heartbeat, from
// the moment until which it has read what its callers sent. Leases at workers end with those of the
// jobs that run there, so no task outlives its job's lease, whatever the controller does. Callers
// of a killed requester return elsewhere after 1,300 ms (resendMs); a run has to end before.
inline constexpr duration job_lease = std::chrono::milliseconds{1150};

// With less time left no task is started, as it might lapse before the next renewal: a heartbeat
// may be lost.
inline constexpr duration min_start_lease = std::chrono::milliseconds{200};

// Allows for a worker's clock that is 2 % slow during a lease of 1 s, an estimate of that clock
// that is 2 % of the time since the last reply ahead, and 50 ms that killing a task takes.
inline constexpr duration lease_uncertainty = std::chrono::milliseconds{100};

// Time after a requester lost a controller until no task that the controller started for it still
// runs.
inline constexpr duration lost_job_quarantine = job_lease + lease_uncertainty;

// How a job ended.
enum class job_end {
    completed, // all tasks are done
    failed,    // a task used up its attempts, the job is invalid, or its caller cancelled it
    not_run,   // certainly no task was started
    unknown,   // tasks may have been started and their outcome is unknown
    moved,     // this instance does not control the workers; submit to the next controller
};

// Stable lower-case name, as used in logs.
std::string_view to_string(job_end end);

struct job_outcome {
    job_end end = job_end::unknown;
    duration retry_after{};  // for not_run: time until there may be capacity
    const char* reason = ""; // for the log
};

// Larger jobs are invalid: the state of their tasks would not fit into a controller's memory.
inline constexpr std::uint32_t max_tasks_per_job = 100000;

// Identifies a task of a job. Its name is ID.OCCURRENCE.STEP.INDEX; the occurrence is always 0.
struct task_ref {
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

std::string to_task_name(const task_ref& task);

// Returns false if the text is not a task name.
bool parse_task_name(std::string_view text, task_ref& task);

// Returns why a job is invalid, or null if it is valid. It must have a step, every step a task and
// no negative demand, and `after` may only name earlier steps.
const char* find_job_defect(const job_request& job);

// Run time of the longest chain of dependent steps; `work` returns that of one task of a step.
duration critical_path(const job_request& job,
                       const std::function<duration(const job_step&)>& work);

} // namespace cactusloom
