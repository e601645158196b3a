#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusloom {

// A kind of request that callers may submit, as declared in section request_kinds.
struct request_kind {
    std::string name;
    bool idempotent = false;
    // Whether the system may start a task of this kind a second time (retry after a lost reply,
    // hedge). Only valid for idempotent kinds; off by default since no task may start twice.
    bool second_start = false;
    duration declared_run_time{};   // often inaccurate; only used until run times are learned
    duration default_deadline{};    // used if the caller sets none
    std::vector<std::string> needs; // worker features, for example "accelerator"
    bool retired = false;           // no longer in the document; see stable_positions.h
};

// A worker that tasks can be started on.
struct worker_settings {
    std::string name;
    std::string address; // "ip:port"
    std::string rack;
    std::string data_centre;
    std::uint32_t slots = 0;
    std::uint32_t max_connections = 0;
    std::vector<std::string> features;
    bool retired = false; // no longer in the document; see stable_positions.h
};

// A team with a share of the capacity.
struct team_quota {
    std::string name;
    double weight = 1.0;             // share when teams compete
    std::uint32_t max_in_flight = 0; // tasks running or queued, over all instances; 0 for no limit
};

// A member or shop.
struct customer_settings {
    std::string id;
    std::string team;
};

// Weights of response time and message cost, and the dispatch settings that go with them.
struct dispatch_profile {
    double response_time_weight = 1.0;  // importance of response time, 0 to 1
    double wasted_message_weight = 1.0; // importance of messages beyond the two needed, 0 to 1
    std::string routing = "predicted_finish"; // name of the routing strategy
    double message_budget = 2.02;             // messages a task on average, two being the minimum
    double hedge_quantile = 0.95; // run-time quantile after which a second start may be made
    double retry_ratio = 0.1;     // retries allowed for each first start
};

// The team that may edit a section of the configuration document.
struct section_owner {
    std::string section;
    std::string team;
};

// Limits of the caller API and of the queues of an instance.
struct admission_limits {
    std::uint32_t max_tasks_per_job = 700;
    std::uint32_t max_queued_tasks = 20000;
    std::uint32_t max_body_bytes = 1U << 20U;
    duration max_deadline = std::chrono::seconds{60};
    duration answer_retention = std::chrono::seconds{60};
};

// The validated and typed contents of the configuration document.
struct deployment {
    std::string name;
    dispatch_profile profile;
    admission_limits limits;
    duration lease = std::chrono::seconds{5};
    std::vector<request_kind> kinds;
    std::vector<worker_settings> workers;
    std::vector<team_quota> teams;
    std::vector<customer_settings> customers;
    std::uint32_t account_appends_per_second = 100; // over all instances
    std::vector<section_owner> owners;              // one for each section
};

} // namespace cactusloom
