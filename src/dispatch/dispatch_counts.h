#pragma once

#include "metrics/counters.h"

namespace cactusloom {

// Counters of the dispatcher, looked up by name once.
struct dispatch_counts {
    explicit dispatch_counts(counters& all)
        : jobs_accepted(all.get("jobs_accepted")), jobs_joined(all.get("jobs_joined")),
          jobs_refused(all.get("jobs_refused")), jobs_completed(all.get("jobs_completed")),
          jobs_failed_not_run(all.get("jobs_failed_not_run")),
          jobs_failed_after_run(all.get("jobs_failed_after_run")),
          jobs_unknown(all.get("jobs_unknown")), jobs_cancelled(all.get("jobs_cancelled")),
          answers_dropped(all.get("answers_dropped")), task_starts(all.get("task_starts")),
          task_retries(all.get("task_retries")), task_hedges(all.get("task_hedges")),
          hedges_won(all.get("hedges_won")), tasks_shed(all.get("tasks_shed")),
          replies(all.get("replies")), late_replies(all.get("late_replies")),
          replies_missing(all.get("replies_missing")), stops(all.get("stops")),
          lease_renewals(all.get("lease_renewals")), leases_lapsed(all.get("leases_lapsed")),
          retry_budget_empty(all.get("retry_budget_empty"))
    {
    }

    std::uint64_t& jobs_accepted;
    std::uint64_t& jobs_joined;
    std::uint64_t& jobs_refused;
    std::uint64_t& jobs_completed;
    std::uint64_t& jobs_failed_not_run;
    std::uint64_t& jobs_failed_after_run;
    std::uint64_t& jobs_unknown;
    std::uint64_t& jobs_cancelled;
    std::uint64_t& answers_dropped; // before the end of their retention, to bound the memory
    std::uint64_t& task_starts;
    std::uint64_t& task_retries;
    std::uint64_t& task_hedges;
    std::uint64_t& hedges_won;
    std::uint64_t& tasks_shed;
    std::uint64_t& replies;
    std::uint64_t& late_replies;    // after the attempt was abandoned or already answered
    std::uint64_t& replies_missing; // no reply by the deadline plus grace
    std::uint64_t& stops;
    std::uint64_t& lease_renewals;
    std::uint64_t& leases_lapsed; // not renewed in time, since this process was paused
    std::uint64_t& retry_budget_empty;
};

} // namespace cactusloom
