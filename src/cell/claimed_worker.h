#pragma once

#include "cell/worker_commands.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cactusloom {

struct active_job;

// One start on a worker, from the order until its end is known.
struct task_run {
    enum class phase {
        starting,    // order sent, no reply yet
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
    monotonic_time confirmed_at;      // looks sent later must list it
    std::int64_t latest_start_ms = 0; // worker's clock; a start that arrives later is refused
    duration predicted{};
    int percent = -1; // progress, and when it was seen to change last
    monotonic_time progress_at;
    bool stop_confirmed = false;
    monotonic_time stop_sent_at;
    monotonic_time stop_confirmed_at;
};

// A run that belongs to no job known here, left by an earlier controller.
struct orphan_run {
    std::uint32_t run = 0;
    monotonic_time seen_at;
    monotonic_time stop_sent_at;
};

// Failures of different jobs in a row after which a worker is closed for a while.
inline constexpr std::uint32_t failures_to_suspend = 2;

// What the controller knows of one worker: an exact account of its room, its clock and the end
// of the longest lease that it may have granted.
struct claimed_worker {
    worker_report report;
    bool listed = true; // in the newest list of workers
    monotonic_time unlisted_at;
    bool token_accepted = false; // it has accepted the claim's token
    bool announced = false;      // the fronts have been told that runs may be here
    std::map<std::string, task_run> runs;
    std::map<std::string, orphan_run> orphans;
    task_demand used;

    std::int64_t clock_ms = -1; // worker's clock at `clock_at` or earlier
    monotonic_time clock_at;
    std::int64_t lease_end_ms = -1;  // latest deadline ever sent
    std::uint64_t last_seen_end = 0; // ends up to this number have been dealt with
    std::int64_t started_at_ms = 0;

    bool long_poll_pending = false;
    bool quick_poll_pending = false;
    monotonic_time next_poll; // when held is false
    monotonic_time last_reply;
    monotonic_time accepted_poll_sent_at; // newest look that the worker accepted
    std::uint32_t unanswered_polls = 0;

    std::uint32_t failure_streak = 0;
    std::string last_failed_job;
    monotonic_time suspended_until;
    duration suspension_time{};
    double slowness = 1.0; // measured against the prediction for its kind

    // True if nothing more has to be known of it. A worker that vanished without notice may live on
    // behind a cut, under another controller.
    bool is_removable(monotonic_time now) const
    {
        constexpr auto longest_cut = std::chrono::seconds{10};
        return !listed && runs.empty() && (report.draining || now - unlisted_at > longest_cut);
    }

    // Worker's clock now, at the latest. Its rate may differ by 2 %.
    std::int64_t clock_estimate(monotonic_time now) const
    {
        return clock_ms +
               std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_at).count();
    }

    // Local time from which every lease has lapsed and every unanswered start is refused.
    monotonic_time leases_expired_at() const
    {
        constexpr double slowest_clock = 0.98;
        constexpr auto slack = std::chrono::milliseconds{60}; // the kill itself takes a moment
        const auto span = static_cast<double>(std::max<std::int64_t>(lease_end_ms - clock_ms, 0));
        return clock_at + duration{static_cast<duration::rep>(span * 1000 / slowest_clock)} + slack;
    }

    // A worker that has failed tasks of two jobs in a row gets one task at a time until one is
    // done.
    bool has_capacity(const task_demand& it) const
    {
        const bool on_probation = failure_streak >= failures_to_suspend;
        return (!on_probation || runs.empty()) &&
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
