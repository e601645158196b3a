#include "cell/dispatch_metrics.h"

#include "base/log.h"
#include "cell/caller_request_handler.h"
#include "cell/cell_service.h"

#include <fmt/format.h>
#include <iterator>

namespace cactusloom {

std::string format_dispatch_metrics(const cell_service& cells,
                                    const caller_request_handler& handler,
                                    const network_counts& network)
{
    std::string out;
    const auto add = [&out](std::string_view name, auto value) {
        fmt::format_to(std::back_inserter(out), "cactusloom_{} {}\n", name, value);
    };
    const auto counts = cells.counts();
    add("jobs_completed_total", counts.jobs_completed);
    add("jobs_failed_total", counts.jobs_failed);
    add("jobs_not_run_total", counts.jobs_not_run);
    add("jobs_unknown_total", counts.jobs_unknown);
    add("task_starts_total", counts.starts);
    add("task_starts_without_reply_total", counts.starts_without_reply);
    add("task_starts_invalid_total", counts.starts_invalid);
    add("task_failures_total", counts.task_failures);
    add("task_stops_total", counts.stops);
    add("runs_lapsed_total", counts.runs_lapsed);
    add("stragglers_moved_total", counts.stragglers_moved);
    add("worker_looks_total", counts.polls);
    add("leases_shortened_total", counts.leases_shortened);
    add("workers_lost_total", counts.workers_lost);
    add("orphans_adopted_total", counts.orphans_adopted);
    add("orphans_stopped_total", counts.orphans_stopped);
    add("controls_cells", cells.controls_any() ? 1 : 0);
    add("has_controller", cells.has_controller() ? 1 : 0);
    add("open_jobs", cells.open_jobs());
    add("config_version", handler.version());
    add("caller_connections", network.caller_connections);
    add("open_requests", network.open_requests);
    add("connections_opened_total", network.connections_opened);
    add("configurations_unreadable_total", network.unreadable_configurations);
    add("worker_entries_unreadable_total", network.unreadable_worker_entries);
    add("log_lines_dropped_total", dropped_log_lines());
    handler.format_latencies(out);
    network.event_loop_lateness.format(out, "cactusloom_event_loop_late_seconds", "");
    network.read_lag.format(out, "cactusloom_read_lag_seconds", "");
    network.configuration_delay.format(out, "cactusloom_configuration_delay_seconds", "");
    return out;
}

} // namespace cactusloom
