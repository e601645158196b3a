#pragma once

#include "cell/worker_commands.h"
#include "lease_limit.h"
#include "worker_speed.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cactusloom {

struct active_job;

// One run of a task on a worker, from the start command until the run is known to be over.
struct task_run {
    enum class phase {
        starting,    // command sent, no reply yet
        running,     // confirmed
        unconfirmed, // no reply in time; it may or may not have been started
        stopping,
    };
    active_job* job = nullptr;
    task_ref task;
    std::uint32_t run = 0;
    task_demand demand;
    phase at = phase::starting;
    monotonic_time sent_at;
    monotonic_time confirmed_at;      // replies to polls sent later must list the run
    std::int64_t latest_start_ms = 0; // worker's clock; a start that arrives later is refused
    duration predicted{};
    int percent = -1;           // reported progress
    monotonic_time progress_at; // last time that `percent` changed
    bool isolated = false;      // no other task may join it, as a worker was lost under its task
    bool adopted = false;       // started by an earlier controller, at an unknown time
    bool stop_confirmed = false;
    monotonic_time stop_sent_at;
    monotonic_time stop_confirmed_at;
};

// A run that an earlier controller started and that belongs to no job known here.
struct orphan_run {
    std::uint32_t run = 0;
    monotonic_time seen_at;
    monotonic_time stop_sent_at;
};

// Consecutive failures of tasks of different jobs after which a worker gets no starts for a while.
inline constexpr std::uint32_t failures_to_suspend = 2;

// What the controller knows of one worker: its used capacity, its clock and the end of the longest
// lease that it may have granted.
struct claimed_worker {
    worker_report report;
    bool listed = true; // in the newest list of workers
    monotonic_time unlisted_at;
    bool token_accepted = false; // it has accepted the claim's token
    bool announced = false;      // the requesters have been told that runs may be here
    std::map<std::string, task_run> runs;
    std::map<std::string, orphan_run> orphans;
    task_demand used;
    std::uint32_t isolated_runs = 0;

    std::int64_t clock_ms = -1; // the worker's clock when it sent the last reply
    monotonic_time clock_at;    // local time at which that reply arrived
    // On the worker's clock: latest end of a lease that any controller may have granted.
    std::int64_t lease_end_ms = -1;
    lease_limit job_leases = lease_limit::unlimited(); // of all jobs that run here
    std::uint64_t last_seen_end = 0; // finished runs up to this number have been processed
    std::int64_t started_at_ms = 0;

    bool long_poll_pending = false;
    bool quick_poll_pending = false;
    // Next poll of a worker that does not answer or has not accepted the token.
    monotonic_time next_poll;
    monotonic_time last_reply;
    monotonic_time accepted_poll_sent_at; // newest poll that the worker accepted
    std::uint32_t unanswered_polls = 0;

    std::uint32_t failure_streak = 0;
    std::string last_failed_job;
    monotonic_time suspended_until;
    duration suspension_time{};
    worker_speed speed;
    double slowness = 1.0; // smoothed ratio of its run times to the predictions for its kind

    // True if the entry is no longer needed. A worker that left the list without draining may still
    // run behind a network partition, under another controller.
    bool is_removable(monotonic_time now) const
    {
        constexpr auto longest_partition = std::chrono::seconds{10};
        return !listed && runs.empty() &&
               (report.draining || now - unlisted_at > longest_partition);
    }

    // Lower estimate of the worker's clock now, as its reply took time to arrive. The clock's rate
    // may differ by 2 %.
    std::int64_t clock_estimate(monotonic_time now) const
    {
        return clock_ms +
               std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_at).count();
    }

    // Local time from which every lease has expired and every unanswered start is refused.
    monotonic_time leases_expired_at() const
    {
        constexpr double slowest_clock = 0.98;
        constexpr auto slack = std::chrono::milliseconds{60}; // time that killing the tasks takes
        const auto span = static_cast<double>(std::max<std::int64_t>(lease_end_ms - clock_ms, 0));
        return clock_at + duration{static_cast<duration::rep>(span * 1000 / slowest_clock)} + slack;
    }

    // A worker that has failed tasks of two jobs in a row gets one task at a time until one of them
    // is done.
    bool has_capacity(const task_demand& it) const
    {
        const bool on_probation = failure_streak >= failures_to_suspend;
        return (!on_probation || runs.empty()) && isolated_runs == 0 &&
               used.cpu_millis + it.cpu_millis <= report.capacity.cpu_millis &&
               used.memory_mb + it.memory_mb <= report.capacity.memory_mb &&
               used.gpus + it.gpus <= report.capacity.gpus;
    }

    void reserve_capacity(const task_demand& it)
    {
        used.cpu_millis += it.cpu_millis;
        used.memory_mb += it.memory_mb;
        used.gpus += it.gpus;
    }

    void release_capacity(const task_demand& it)
    {
        used.cpu_millis -= it.cpu_millis;
        used.memory_mb -= it.memory_mb;
        used.gpus -= it.gpus;
    }

    bool has_label(std::string_view label) const
    {
        return std::ranges::find(report.labels, label) != report.labels.end();
    }
};

} // namespace cactusloom
