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

// A submission as received by the instance that owns its id. Size limits were already checked.
struct submission_request {
    std::string id; // submission id, "<prefix>.<suffix>"
    std::string customer;
    std::string kind;
    std::vector<std::string> payloads; // one per task
    duration deadline{};               // from now
};

enum class job_state {
    running,
    completed,
    failed_not_run,   // it is certain that no task of the job ran
    failed_after_run, // at least one task ran and the job failed
    unknown,          // no reply for at least one task, which may or may not have run
};

// Name used in JSON, for example "failed_not_run".
const char* to_string(job_state state);

// Result of a job. `answers` has one entry per task if the job completed, else it is empty.
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

// Interface of the dispatcher as the caller API uses it.
class job_service {
public:
    using answer_callback = std::function<void(const job_answer&)>;

    job_service() = default;
    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;
    virtual ~job_service() = default;

    // Applies a new configuration, with stable positions (config/stable_positions.h). Jobs that
    // were accepted earlier keep the settings under which they were accepted.
    virtual void apply(const deployment& settings) = 0;

    // Accepts a job, or succeeds without effect if a job with the same id and content is running or
    // finished. Errors: `conflict` (same id, other content), `invalid_argument` (malformed id,
    // unknown kind or customer, no worker can ever run it), `unavailable` (refused and certainly
    // not run: overload, full queue, too many ids, shutting down), `not_found` (prefix expired or
    // of another incarnation, or answer dropped: the outcome is not known here).
    virtual result<void> submit(submission_request request) = 0;

    // Calls `done` once with the answer, or with state `running` if `limit` passes first, or with
    // state `unknown` for an unknown id. Never calls it from inside wait().
    virtual void wait(std::string_view id, duration limit, answer_callback done) = 0;

    virtual result<job_status> status(std::string_view id) const = 0;

    // Cancels a job: drops its queued tasks and stops the running ones.
    virtual result<void> cancel(std::string_view id) = 0;

    // Returns a new prefix from which callers build submission ids for this instance.
    virtual std::string issue_prefix() = 0;

    // Refuses new submissions from now on and calls `drained` when no job is open.
    virtual void shut_down(std::function<void()> drained) = 0;
};

} // namespace cactusloom
