#pragma once

#include "base/timer_service.h"
#include "cell/cell_service.h"
#include "cell/queue_table.h"
#include "metrics/latency_histogram.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusloom {

// Reply to a caller's request.
struct caller_reply {
    enum class kind {
        completed,
        failed,
        not_run,         // certainly no task was or will be started; retry after retry_after
        unknown_outcome, // tasks may have run
        no_such_queue,
        no_such_job,
        malformed,
        cancelled,
        running,
        pending,
    };
    kind what = kind::unknown_outcome;
    duration retry_after{};
    std::size_t pending = 0;
};

// A job as its caller submitted it.
struct submission {
    job_request request;
    bool answer_at_end = false; // answered when the job ends; false asks to store the job
    std::string unsupported;    // requested feature that is not supported; empty if none
    std::optional<duration> caller_timeout; // time that the caller waits for the answer
};

// Handles the requests of an instance's callers according to the queues in force.
class caller_request_handler {
public:
    using answer = std::function<void(const caller_reply&)>;

    caller_request_handler(timer_service& timers, cell_service& cells)
        : timers_(timers), cells_(cells)
    {
    }

    // Puts a newer version in force and returns true; ignores an older or equal one.
    bool set_queues(queue_table table);
    std::int64_t version() const { return table_.version; }
    const queue_table& queues() const { return table_; }

    struct queue_match {
        bool found = false;
        std::size_t prefix_length = 0;
        caller_reply refusal;
    };
    queue_match find_queue(std::string_view host, std::string_view path) const;

    void submit(std::string_view host, std::string_view path, submission submitted, answer fn);
    void on_caller_disconnected(const std::string& job_id);
    // Both find the job at any instance. `fn` runs once, at once or within 500 ms; it gets
    // `not_run` if it is not known whether the job is open somewhere.
    void state_of(const std::string& job_id, answer fn);
    void cancel(const std::string& job_id, answer fn);
    caller_reply pending(std::string_view host, std::string_view path) const;

    // Announces that the instance stops at `exit_at`. New jobs get a deadline before that time.
    void begin_drain(monotonic_time exit_at) { exit_at_ = exit_at; }

    // Answers all open jobs `unknown` and stops their running tasks, so that callers get an answer
    // before their connections close.
    void end_open_jobs();

    // Appends the latency histograms, one for each kind of answer.
    void format_latencies(std::string& out) const;

    // True if the instance accepts new callers: it is not draining, has a configuration and reaches
    // a controller.
    bool is_ready() const;

private:
    timer_service& timers_;
    cell_service& cells_;
    queue_table table_;
    std::optional<monotonic_time> exit_at_; // while draining
    std::map<caller_reply::kind, latency_histogram> latencies_;
};

} // namespace cactusloom
