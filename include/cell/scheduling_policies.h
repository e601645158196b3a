#pragma once

#include <string_view>

namespace cactusloom {

// Mechanisms of the scheduler that can be switched off one by one, to measure what each is worth.
// The shipped program uses all of them; tests and developer builds may switch some off.
struct scheduling_policies {
    bool kind_factors = true;        // run times are predicted for each kind of worker
    bool run_time_learning = true;   // predictions use the run times of earlier tasks
    bool worker_speeds = true;       // a worker may differ from its kind in speed
    bool worker_slowness = true;     // a worker that runs slower than its kind is predicted slower
    bool suspension = true;          // workers that fail several jobs get no starts for a while
    bool stragglers = true;          // runs that stall or are far too slow are moved
    bool slow_workers_first = true;  // tasks leave fast workers to those that need them
    bool tightest_fit = true;        // among equal workers the fullest one is taken
    bool wait_for_faster = true;     // a task may wait for a faster worker
    bool bounded_wait = true;        // it waits only if the expected wait leaves it better off
    bool order_by_urgency = true;    // jobs that can be in time come before late ones
    bool order_by_loss = true;       // jobs that lose most by waiting come first
    bool scaled_objective = true;    // an objective is taken to grow with the actual run time
    bool inflow_wait = true;         // the predicted wait counts the work that keeps arriving
    bool whole_starts = true;        // no job is begun whose last tasks would start too late
    bool late_wait = true;           // no late job is begun under overload
    bool deep_passes = true;         // a pass goes on until the workers are full
    bool refusal_on_arrival = true;  // jobs that would miss their objective are refused at once
    bool refusal_by_forecast = true; // waiting jobs are refused once they cannot be served in time
    bool overdue_polls = true;       // a worker with an overdue end is polled again
    bool recent_outcomes = true;     // a job sent again after its end gets the same answer
    bool orphan_adoption = true;     // a new controller takes over running tasks

    // Switches off the mechanism of that name. Returns false if there is none.
    bool disable(std::string_view name);
};

} // namespace cactusloom
