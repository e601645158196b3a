#pragma once

#include "base/log.h"
#include "cell/cell_service.h"

#include <set>
#include <utility>

namespace cactusloom {

// One submission of a job to a controller. `number` rises with each submission of the job; 0 if the
// controller runs an earlier release and does not return it.
struct cell_service::job_submission {
    std::string job_id;
    std::string controller;
    std::string cell;
    std::uint32_t number = 0;
};

// A caller's job, from its submission to this instance until its answer.
struct cell_service::submitted_job {
    job_request request;
    answer fn;
    std::string controller; // empty: waiting for one
    std::string cell;
    std::string former_controller;    // lost, and not told that the job goes elsewhere
    std::set<std::string> refused_by; // cells that had no capacity
    monotonic_time arrived;
    monotonic_time deadline;
    bool sent = false;              // a controller may have started tasks
    std::uint32_t submissions = 0;  // to controllers
    std::string sent_cell;          // the cell whose workers may run them
    shared_worker_set sent_workers; // newest set that its controller has announced
    worker_set former_workers;      // worker sets of earlier controllers
    monotonic_time lost_at;         // when contact with the controller, or its claim, was lost
    bool may_have_run = false;      // a lost controller may have started tasks

    // True if `it` is the newest submission, whose outcome counts.
    bool is_current(const job_submission& it) const
    {
        return controller == it.controller && cell == it.cell &&
               (it.number == 0 || it.number == submissions);
    }

    void send_to(const std::string& name, const cell_claim& claim)
    {
        controller = name;
        cell = claim.cell;
        sent = true;
        sent_cell = claim.cell;
        sent_workers = claim.workers;
    }

    void lose_controller(monotonic_time now, const char* reason)
    {
        log_request_event("job_lost_controller",
                          "id={} controller={} cell={} reason=\"{}\" age_ms={}", request.id,
                          controller, cell, reason, (now - arrived).count() / 1000);
        former_controller = std::exchange(controller, {});
        former_workers.insert(sent_workers.get().begin(), sent_workers.get().end());
        sent_workers = {};
        lost_at = now;
        may_have_run = true;
    }
};

// A cell that this instance controls.
struct cell_service::controlled_cell {
    std::unique_ptr<cell_controller> controller;
    std::uint64_t token = 0;
    bool fenced = false;
    std::set<instance_process> requesters;
};

} // namespace cactusloom
