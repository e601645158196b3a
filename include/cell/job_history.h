#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace cactusloom {

// What happened to a job at one instance.
enum class job_event {
    submitted, // by a caller
    sent,      // to the controller of a cell
    accepted,  // by this instance as a controller
    resumed,   // the same, where another controller may have started tasks
    started,   // a task
    stopped,   // a task: the stop was sent
    run_ended,
    abandoned, // its caller or its requester has given it up
    answered,
};

// Keeps the last events of all jobs in memory. There are too many to log, so they are logged when
// contact is lost or a run does not end by itself, which may show that a task has run twice.
class job_history {
public:
    explicit job_history(const clock& time) : time_(time) {}

    // Records that the event happened. `other` is the caller's queue, the instance or the worker,
    // `number` that of the submission, the link or the run. Long texts are cut off.
    void add(job_event what, std::string_view job_id, std::string_view other,
             std::uint32_t number = 0);

    // The newest events of a job that are known, oldest first, with their age in ms.
    std::string events_of(std::string_view job_id) const;

    // Logs them in one line. Lines above a limit per second are dropped.
    void log_job(std::string_view job_id, std::string_view reason);

    // Logs which jobs have reached this instance since the last call, and from where. Called
    // again within a second, it does nothing.
    void log_arrivals(std::string_view reason);

private:
    // Fixed sizes, so that an event takes no memory of its own. An id of the platform has 16
    // characters.
    struct event {
        monotonic_time at;
        job_event what = job_event::submitted;
        std::uint32_t number = 0;
        std::array<char, 16> job{};
        std::array<char, 20> other{};
    };

    const clock& time_;
    std::deque<event> events_; // the newest last
    monotonic_time arrivals_logged_at_;
    monotonic_time second_;
    int lines_this_second_ = 0;
};

} // namespace cactusloom
