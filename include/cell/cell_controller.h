#pragma once

#include "base/timer_service.h"
#include "cell/crash_ledger.h"
#include "cell/job.h"
#include "cell/job_history.h"
#include "cell/peer_link.h"
#include "cell/scheduling_policies.h"
#include "cell/worker_commands.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cactusloom {

// Limits that the controller applies to leases, stops and placement. The defaults are those of the
// deployments.
struct cell_settings {
    duration lease = std::chrono::milliseconds{1000};      // longest lease that a worker grants
    duration stop_timeout = std::chrono::milliseconds{50}; // longest time that a stop takes
    double remote_penalty = 1.0; // run time factor of a task on a worker outside its data's rack
    scheduling_policies policies;
};

// Counters since the start of the process, exported as metrics.
struct cell_counts {
    std::uint64_t jobs_completed = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_not_run = 0;
    std::uint64_t jobs_unknown = 0;
    std::uint64_t starts = 0;
    std::uint64_t starts_without_reply = 0;
    std::uint64_t starts_invalid = 0; // refused by the worker as invalid
    std::uint64_t polls = 0;
    std::uint64_t leases_shortened = 0; // polls that renew leases for less than the full time
    std::uint64_t stops = 0;
    std::uint64_t task_failures = 0;
    std::uint64_t runs_lapsed = 0; // their lease at the worker ended
    std::uint64_t stragglers_moved = 0;
    std::uint64_t workers_lost = 0;
    std::uint64_t orphans_adopted = 0;
    std::uint64_t orphans_stopped = 0;

    cell_counts& operator+=(const cell_counts& other);
};

// Schedules the tasks of all jobs on the workers of one cell. Each command carries the fencing
// token of the controller's claim, and a worker refuses tokens below the highest that it has seen,
// so only the newest controller can act on it. A new controller learns from its first poll of each
// worker what runs there, so a takeover needs no state from its predecessor.
class cell_controller {
public:
    using answer = std::function<void(const job_outcome&)>;

    // Controllers that follow each other share `losses` and `history`; without them the controller
    // has its own.
    cell_controller(timer_service& timers, worker_commands& commands, const cell_settings& settings,
                    std::shared_ptr<crash_ledger> losses = nullptr,
                    std::shared_ptr<job_history> history = nullptr);
    ~cell_controller();
    cell_controller(const cell_controller&) = delete;
    cell_controller& operator=(const cell_controller&) = delete;

    // Takes control with a token above those of earlier claims, or raises the token. A token that
    // is not higher is ignored.
    void claim(std::uint64_t token);

    // Gives up control: sends no further command and answers every open job `moved`.
    void release();

    bool is_claimed() const;

    // Replaces the list of workers. Nothing more is started on workers that are absent; their
    // running tasks are tracked until they end or their lease expires.
    void set_workers(std::span<const worker_report> workers);

    // Records that the list is as the platform had it at `read_started_at` or later. A list that is
    // older than the claim may lack workers that the previous controller used.
    void set_worker_list_time(monotonic_time read_started_at);

    // Accepts a job and calls `fn` once with its outcome. A second submission of an id joins the
    // first, and only the newest `fn` is called. `requester` is the link on which the job
    // was forwarded.
    void submit(job_request job, const peer_link& requester, answer fn);

    // Stops the running tasks of a job whose caller has disconnected and drops the others. Has no
    // effect if another process has submitted the job since, or the same one on a newer link.
    void abandon(std::string_view job_id, const peer_link& requester);

    // True if a job, or a submission that waits for its end, has not been answered yet.
    bool has_open_job(std::string_view job_id) const;

    // Ends a job that its caller has cancelled, whoever has submitted it, and answers it `failed`.
    void cancel(std::string_view job_id);

    // Abandons the jobs that the process has not submitted again since it opened the link: it has
    // given them up, and its message about that was lost with an earlier link.
    void abandon_not_resubmitted(const peer_link& newest);

    // Abandons all jobs of a process that is gone or unreachable. They are answered `moved`,
    // which the requester receives only if it is reachable after all.
    void abandon_all_of(const instance_process& requester);

    // Applies a loss that another controller has noticed, and that the ledger already has.
    void apply_loss(const worker_loss& loss);

    // Workers that have accepted the claim's token and are listed, or that have tracked runs.
    worker_set used_workers() const;

    // Number of open jobs of a queue of which no task has been started.
    std::size_t pending_jobs(std::string_view queue) const;

    const cell_counts& counts() const;

    // Called with each loss of a worker that this controller notices, once for each of its tasks.
    std::function<void(const worker_loss&)> on_worker_loss;

    // Called when a worker refuses a command because it has seen a higher token.
    std::function<void()> on_fenced;

    // Called before the first start on a worker. Requesters need the current `used_workers` if they
    // lose the connection to this controller.
    std::function<void()> on_used_workers_changed;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
