#pragma once

#include "admission/fair_queue.h"
#include "dispatch/job_observer.h"
#include "dispatch/job_service.h"
#include "dispatch/timer_wheel.h"
#include "routing/router.h"

#include <boost/container/small_vector.hpp>
#include <memory>

namespace cactusloom {

inline constexpr std::uint32_t no_index = ~std::uint32_t{0};

enum class task_phase : std::uint8_t { waiting, running, backing_off, completed, ended };

// A task of a job. Kept to 28 bytes, since an instance may hold hundreds of thousands.
struct task_record {
    // Open attempts: one, or two while the task is hedged.
    std::uint32_t attempts[2] = {no_index, no_index};
    worker_id last_worker = no_index;
    timer_wheel::handle retry_timer = timer_wheel::none;
    // Milliseconds from the receipt of the job to the end of the lease of the last attempt.
    std::uint32_t lease_end_ms = 0;
    task_phase state = task_phase::waiting;
    std::uint8_t starts = 0;
    std::uint8_t backoffs = 0;
    bool has_run = false;    // a reply proves that it ran, at least in part
    bool is_unknown = false; // a reply was lost, so it may have run

    bool is_open() const { return attempts[0] != no_index || attempts[1] != no_index; }
};

// A caller that waits for the answer of a job.
struct answer_waiter {
    std::uint32_t number = 0;
    timer_wheel::handle timer = timer_wheel::none;
    job_service::answer_callback done;
};

// A job, from its acceptance until its answer is dropped.
struct job_record {
    std::string id;
    job_number number = 0; // zero while the record is free
    std::uint64_t id_hash = 0;
    std::uint64_t body_digest = 0;
    monotonic_time received;
    monotonic_time deadline;
    monotonic_time first_start;
    monotonic_time finished_at;
    wall_time received_wall;
    // One per task: the payload, replaced by the answer when the task completes.
    std::vector<std::string> payloads_or_answers;
    boost::container::small_vector<task_record, 1> tasks;
    std::shared_ptr<const deployment> accepted_settings; // settings at the time of acceptance
    std::vector<std::uint32_t> retry_queue; // tasks that wait for a retry; the last goes first
    std::vector<answer_waiter> waiters;
    std::shared_ptr<const job_answer> answer; // set when the job is finished
    std::string reason;                       // why it failed, if it did
    timer_wheel::handle timer = timer_wheel::none;
    kind_index kind = 0;
    team_index team = 0;
    std::uint32_t queue = 0;        // index of the queue that its tasks wait in
    std::uint32_t size = 0;         // number of tasks
    std::uint32_t next_waiting = 0; // first task that has not been started yet
    std::uint32_t started = 0;      // tasks
    std::uint32_t completed = 0;    // tasks
    std::uint32_t open_tasks = 0;   // tasks with an attempt that has not ended
    std::uint32_t last_waiter = 0;
    bool is_failing = false;     // no further task is started
    bool grace_extended = false; // the grace was extended once, since the process was paused

    bool is_finished() const { return answer != nullptr; }
};

// One start request and its state.
struct attempt_record {
    std::uint32_t job = no_index;
    std::uint32_t task = 0;
    std::uint32_t generation = 0; // incremented for each use of the record
    worker_id worker = 0;
    timer_wheel::handle timer = timer_wheel::none;
    std::uint8_t start_number = 0;
    bool is_open = false;
    bool holds_slot = false;
    bool stop_sent = false;
    monotonic_time started;
    monotonic_time lease_end;
    monotonic_time renew_at;
    monotonic_time hedge_at;
};

} // namespace cactusloom
