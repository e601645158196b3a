#pragma once

#include "base/timer_service.h"
#include "cell/job.h"
#include "cell/worker_commands.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cactusloom {

// Times that workers and callers are bound to. The defaults are those of the deployments.
struct cell_settings {
    duration lease = std::chrono::milliseconds{1000};      // longest lease that a worker grants
    duration stop_timeout = std::chrono::milliseconds{50}; // a stop takes at most this long
    double remote_penalty = 1.0; // a task away from its data's rack takes so many times as long
};

// Counters since the start, for the metrics.
struct cell_counts {
    std::uint64_t jobs_completed = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_not_run = 0;
    std::uint64_t jobs_unknown = 0;
    std::uint64_t starts = 0;
    std::uint64_t starts_without_reply = 0;
    std::uint64_t polls = 0;
    std::uint64_t stops = 0;
    std::uint64_t task_failures = 0;
    std::uint64_t stragglers_moved = 0;
    std::uint64_t workers_lost = 0;
    std::uint64_t orphans_adopted = 0;
    std::uint64_t orphans_stopped = 0;

    cell_counts& operator+=(const cell_counts& other);
};

// Places the tasks of all jobs on the workers of one cell. Only one controller may act on a
// worker: each order carries the claim's token, and a worker ignores tokens below the highest that
// it has seen. A new controller learns from the first look at each worker what runs there, so a
// takeover needs nothing from the one before.
class cell_controller {
public:
    using answer = std::function<void(const job_outcome&)>;

    cell_controller(timer_service& timers, worker_commands& commands,
                    const cell_settings& settings);
    ~cell_controller();
    cell_controller(const cell_controller&) = delete;
    cell_controller& operator=(const cell_controller&) = delete;

    // Takes control with a token above those of earlier claims, or raises the token.
    void claim(std::uint64_t token);

    // Gives up control: no order follows, and every open job is answered `moved`.
    void release();

    bool is_claimed() const;

    // Replaces the list of workers. Workers that are absent get no further start; what runs on
    // them is followed until it ends or its lease has lapsed.
    void set_workers(std::span<const worker_report> workers);

    // Says that the list is as the platform had it at `read_started_at` or later. A list from
    // before the claim may lack workers that the controller before this one has used.
    void set_worker_list_time(monotonic_time read_started_at);

    // Takes a job; `fn` runs once. A second submission of an id joins the first: only the newest
    // answer function is called. `requester` names who has to stay in touch for the job to go on.
    void submit(job_request job, const std::string& requester, answer fn);

    // The caller has left: stops what runs and forgets the rest.
    void abandon(std::string_view job_id);

    // The same for a requester that is out of touch. Its jobs are answered `moved`, which reaches
    // it only if it is in touch after all.
    void abandon_all_of(std::string_view requester);

    // Workers that obey the claim's token and take starts, or on which runs are followed.
    worker_set used_workers() const;

    // Jobs of a queue of which no task has been started.
    std::size_t pending_jobs(std::string_view queue) const;

    const cell_counts& counts() const;

    // Called when a worker has seen a higher token than the claim's.
    std::function<void()> on_fenced;

    // Called before the first start on a worker: fronts have to know `used_workers` by the time
    // that they lose this controller.
    std::function<void()> on_used_workers_changed;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cactusloom
