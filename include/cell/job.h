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

// What one task needs of a worker while it runs.
struct task_demand {
    std::int64_t cpu_millis = 0; // thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t gpus = 0;
};

// A group of equal tasks of a job.
struct job_step {
    std::uint32_t count = 0;
    task_demand demand;
    duration estimate{};              // the caller's rough guess of one task's run time
    std::vector<std::uint32_t> after; // steps whose tasks must all be done first
    std::string required_label;       // the worker must have it; empty for any
    std::string data_rack;            // rack where the data is; empty for any
    std::uint32_t max_per_worker = 0; // 0: no bound
};

// What the configuration says of a job's queue, as the accepting instance saw it.
struct queue_terms {
    std::string queue;
    std::string service; // workers that may run the tasks
    int priority = 0;    // 0 comes first
    std::uint32_t attempts = 1;
    double stretch = 1.0;      // objective in multiples of the longest chain of work
    duration target_latency{}; // added to the stretched chain
};

// Workers, each by a mark of its id that is short enough to travel with every claim.
using worker_set = std::set<std::uint32_t>;
std::uint32_t worker_id_hash(std::string_view id);

// A worker_set that many hold and nobody changes; a copy costs no more than a pointer. Claims carry
// one, and every job looks through the claims.
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

// A job as it was submitted.
struct job_request {
    std::string id;
    std::string payload; // handed to each task unread
    std::vector<job_step> steps;
    queue_terms terms;
    duration time_left{};       // until the caller stops waiting
    duration age{};             // time since the caller's submission arrived
    std::uint32_t run_base = 0; // starts are numbered from run_base + 1
    bool resumed = false;       // another controller may have started tasks of it
    worker_set former_workers;  // resumed: workers on which its tasks may run
};

// Time after which no task of a job runs any more for a controller that its front has lost: that
// one stops the jobs of a front that it has not heard for 600 ms, within 200 ms more, and a lease
// lapses after 1 s on a clock that is 2 % slow.
inline constexpr duration lost_job_quarantine = std::chrono::milliseconds{1100};

// How a submission ended.
enum class job_end {
    completed, // all tasks are done
    failed,    // a task used up its attempts, or time ran out after a start
    not_run,   // certainly no task was started
    unknown,   // tasks may have been started and their fate is not known
    moved,     // this instance no longer controls the workers; nothing is lost by asking the next
};

// Stable lower-case name, as used in logs.
std::string_view to_string(job_end end);

struct job_outcome {
    job_end end = job_end::unknown;
    duration retry_after{};  // for not_run: when there will be room
    const char* reason = ""; // for the log
};

// Names a task of a job: ID.OCCURRENCE.STEP.INDEX.
struct task_ref {
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

std::string to_task_name(const task_ref& task);

// Returns false if the text is not a task name of this form.
bool parse_task_name(std::string_view text, task_ref& task);

// Says why a request can never be run, or null: no steps, a step without tasks, a cycle or an
// unknown step in `after`, demands below zero.
const char* find_job_defect(const job_request& job);

// Longest chain of work through the steps; `work` tells that of one task of a step.
duration critical_path(const job_request& job,
                       const std::function<duration(const job_step&)>& work);

} // namespace cactusloom
