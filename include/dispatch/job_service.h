#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

struct deployment;

// A submission as it reaches the owning instance, already checked for size limits.
struct job_request {
    std::string id; // whole submission id, "<prefix>.<suffix>"
    std::string customer;
    std::string kind;
    std::vector<std::string> payloads; // one for each task
    duration deadline{};               // from now
};

enum class job_state {
    running,
    completed,
    failed_not_run,   // certain: no task of the job ran
    failed_after_run, // at least one task ran and the job failed
    unknown,          // a reply was lost, so at least one task may or may not have run
};

// Returns the name used in JSON, for example "failed_not_run".
const char* to_string(job_state state);

// The whole answer of a job. `answers` has one entry for each task if the job completed, else none.
struct job_answer {
    job_state state = job_state::unknown;
    std::string reason;
    std::vector<std::string> answers;
};

struct job_status {
    job_state state = job_state::running;
    std::size_t tasks = 0;
    std::size_t started = 0;
    std::size_t finished = 0;
    std::string reason;
};

// What the caller API needs from the dispatcher of this instance.
class job_service {
public:
    using answer_callback = std::function<void(const job_answer&)>;

    job_service() = default;
    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;
    virtual ~job_service() = default;

    // Takes a new document into force, with stable positions (config/stable_positions.h). Jobs that
    // were accepted before go on under the rules that they were accepted with.
    virtual void apply(const deployment& settings) = 0;

    // Accepts a job, or joins the running or finished one with the same id and the same content.
    // Errors: `conflict` (same id, other content), `invalid_argument` (unknown kind or customer,
    // can never run), `unavailable` (refused and certainly not run: overload, quota, shutting
    // down), `not_found` (prefix expired or of another incarnation: outcome not known here).
    virtual result<void> submit(job_request request) = 0;

    // Calls `done` once with the answer, or with state `running` when `limit` passes first.
    // An unknown id yields state `unknown`. Never calls from inside wait().
    virtual void wait(std::string_view id, duration limit, answer_callback done) = 0;

    virtual result<job_status> status(std::string_view id) const = 0;

    // Cancels a job. Tasks that have not started never will; running tasks are stopped.
    virtual result<void> cancel(std::string_view id) = 0;

    // A prefix under which callers may make submission ids for this instance.
    virtual std::string issue_prefix() = 0;

    // Refuses new submissions from now on and calls `drained` when no task is left.
    virtual void shut_down(std::function<void()> drained) = 0;
};

} // namespace cactusloom
