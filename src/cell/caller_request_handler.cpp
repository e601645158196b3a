#include "cell/caller_request_handler.h"

#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {

namespace {

// Used until the configuration has been read; the store answers within a few ms.
constexpr duration no_config_retry = std::chrono::seconds{1};
// A job that needs an unsupported feature is refused again on every retry.
constexpr duration unsupported_retry = std::chrono::seconds{60};
// Another instance accepts the job as soon as the caller reconnects.
constexpr duration other_instance_retry = std::chrono::seconds{1};
// Time to send the last answers before the process exits.
constexpr duration exit_margin = std::chrono::milliseconds{100};

caller_reply not_run(duration retry_after)
{
    return {caller_reply::kind::not_run, retry_after};
}

std::string_view name_of(caller_reply::kind kind)
{
    switch (kind) {
    case caller_reply::kind::completed:
        return "completed";
    case caller_reply::kind::failed:
        return "failed";
    case caller_reply::kind::not_run:
        return "not_run";
    case caller_reply::kind::unknown_outcome:
        return "unknown";
    default:
        return "other"; // not an answer to a submission
    }
}

// `if_open`: what is said of a job that was found.
caller_reply to_reply(job_presence presence, caller_reply::kind if_open)
{
    switch (presence) {
    case job_presence::open:
        return {if_open};
    case job_presence::absent:
        return {caller_reply::kind::no_such_job};
    case job_presence::unknown:
        break;
    }
    return not_run(other_instance_retry);
}

caller_reply to_reply(const job_outcome& outcome)
{
    switch (outcome.end) {
    case job_end::completed:
        return {caller_reply::kind::completed};
    case job_end::failed:
        return {caller_reply::kind::failed};
    case job_end::not_run:
        return not_run(outcome.retry_after);
    default:
        return {caller_reply::kind::unknown_outcome};
    }
}

} // namespace

bool caller_request_handler::set_queues(queue_table table)
{
    if (table.version <= table_.version) {
        return false;
    }
    log_event("configuration_in_force", "version={} before={} routes={}", table.version,
              table_.version, table.routes.size());
    table_ = std::move(table);
    cells_.set_config_version(table_.version);
    return true;
}

caller_request_handler::queue_match caller_request_handler::find_queue(std::string_view host,
                                                                       std::string_view path) const
{
    if (table_.version < 0) {
        return {false, 0, not_run(no_config_retry)};
    }
    const auto* route = table_.find(host, path);
    if (route == nullptr) {
        log_request_event("queue_unknown", "host={} path={} version={}", host, path,
                          table_.version);
        return {false, 0, {caller_reply::kind::no_such_queue}};
    }
    return {true, route->path_prefix.size(), {}};
}

void caller_request_handler::submit(std::string_view host, std::string_view path,
                                    submission submitted, answer fn)
{
    const auto* route = table_.find(host, path);
    if (route == nullptr) {
        fn({caller_reply::kind::no_such_queue});
        return;
    }
    if (const auto* defect = find_job_defect(submitted.request)) {
        log_request_event("job_malformed", "id={} reason=\"{}\"", submitted.request.id, defect);
        fn({caller_reply::kind::malformed});
        return;
    }
    if (!submitted.answer_at_end || !submitted.unsupported.empty()) {
        log_request_event("job_refused", "id={} queue={} reason=\"not offered: {}\"",
                          submitted.request.id, route->terms.queue,
                          submitted.answer_at_end ? submitted.unsupported : "stored jobs");
        fn(not_run(unsupported_retry));
        return;
    }
    auto& request = submitted.request;
    request.terms = route->terms;
    // A job is answered when it has ended, which may take longer than the route's timeout for an
    // acknowledgement, so the caller's own timeout comes first.
    request.time_left = submitted.caller_timeout.value_or(route->timeout);
    const auto arrived = timers_.monotonic_now();
    if (exit_at_) {
        request.time_left = std::min(request.time_left, *exit_at_ - arrived - exit_margin);
        if (request.time_left <= duration::zero()) {
            log_request_event("job_refused", "id={} queue={} reason=\"the instance stops\"",
                              request.id, route->terms.queue);
            fn(not_run(other_instance_retry));
            return;
        }
    }
    cells_.submit(std::move(request), [this, arrived, fn = std::move(fn)](const auto& outcome) {
        const auto reply = to_reply(outcome);
        latencies_[reply.what].record(timers_.monotonic_now() - arrived);
        fn(reply);
    });
}

void caller_request_handler::format_latencies(std::string& out) const
{
    for (const auto& [kind, histogram] : latencies_) {
        histogram.format(out, "cactusloom_job_seconds",
                         fmt::format("answer=\"{}\"", name_of(kind)));
    }
}

void caller_request_handler::end_open_jobs()
{
    cells_.end_all_jobs({job_end::unknown, {}, "the instance stops"});
}

void caller_request_handler::on_caller_disconnected(const std::string& job_id)
{
    cells_.abandon(job_id);
}

void caller_request_handler::state_of(const std::string& job_id, answer fn)
{
    cells_.find_job(job_id, false, [fn = std::move(fn)](job_presence presence) {
        fn(to_reply(presence, caller_reply::kind::running));
    });
}

void caller_request_handler::cancel(const std::string& job_id, answer fn)
{
    if (cells_.cancel(job_id)) {
        fn({caller_reply::kind::cancelled});
        return;
    }
    cells_.find_job(job_id, true, [fn = std::move(fn)](job_presence presence) {
        fn(to_reply(presence, caller_reply::kind::cancelled));
    });
}

caller_reply caller_request_handler::pending(std::string_view host, std::string_view path) const
{
    const auto* route = table_.find(host, path);
    if (route == nullptr) {
        return {caller_reply::kind::no_such_queue};
    }
    caller_reply out{caller_reply::kind::pending};
    out.pending = cells_.pending_jobs(route->terms.queue);
    return out;
}

bool caller_request_handler::is_ready() const
{
    return !exit_at_ && table_.version >= 0 && cells_.has_controller();
}

} // namespace cactusloom
