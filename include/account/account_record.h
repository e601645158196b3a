#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Name of the log stream that holds account batches.
constexpr std::string_view account_stream = "account";

// Task starts of one request on one worker.
struct worker_use {
    std::string worker;
    std::uint32_t starts = 0; // starts that ran or may have run
    friend bool operator==(const worker_use&, const worker_use&) = default;
};

enum class account_outcome : std::uint8_t {
    completed,
    failed_not_run,
    failed_after_run,
    unknown, // a reply was lost, so the instance cannot tell whether the request ran
    open,    // received, no end recorded; never written as an end
};

const char* to_string(account_outcome outcome);

// What is known of a request when it is received.
struct account_receipt {
    std::string customer;
    std::string submission_id;
    std::string kind;
    std::uint32_t tasks = 0;
    wall_time received;
};

// The outcome of one request. The owning instance writes one record when the request ends, and
// before that a receipt if the request stays open for account_writer_settings::receipt_age.
struct account_record {
    account_receipt receipt;
    wall_time decided;  // first start sent, or refusal decided
    wall_time answered; // the answer was handed to the caller's connection or kept for it
    std::vector<worker_use> workers;
    account_outcome outcome = account_outcome::open;
    std::string reason; // empty if completed
    std::uint64_t configuration_version = 0;
    std::uint32_t answers = 0;       // times the answer was sent, repeated submissions included
    std::uint32_t second_starts = 0; // starts that the kind allowed beyond one a task

    // Starts that ran or may have run, over all workers.
    std::uint64_t starts() const;
    // True if more starts may have run than the tasks and the allowed second starts account for.
    bool has_duplicate_start() const
    {
        return starts() > std::uint64_t{receipt.tasks} + second_starts;
    }
    // Memory of the record in bytes, for bounding a buffer.
    std::size_t memory_size() const;
};

// Records that a writer had to drop.
struct dropped_records {
    std::uint64_t count = 0;
    wall_time from;
    wall_time until;

    // Adds one record received at `first` and dropped at `last`.
    void add(wall_time first, wall_time last);
};

} // namespace cactusloom
