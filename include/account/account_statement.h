#pragma once

#include "account/account_record.h"
#include "account/account_record_codec.h"
#include "platform/log_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cactusloom {

// A time span in which requests of the customer may be missing.
struct account_gap {
    enum class cause : std::uint8_t {
        dropped_by_writer, // the instance could not buffer them; count is of records
        batch_missing,     // batch numbers of a writer are missing; count is of batches
        unreadable_batch,  // count is of batches
        not_retained,      // neither in the archive nor in the log; count is of log records
        writer_ended,      // the instance ended without a closing batch; count is not known
        log_not_read,      // the log could not be read to its end; count is not known
        log_regressed,     // the log ends before the archive does; count is of log records
    };

    cause why = cause::not_retained;
    wall_time from; // the Unix epoch if the start is not known
    wall_time until;
    std::uint64_t count = 0;
    std::string where; // instance or offsets
};

const char* to_string(account_gap::cause why);

// A request whose outcome is not known.
struct unknown_request {
    account_receipt receipt;
    std::string why;
};

// The account of one customer, with everything that is known to be missing from it.
struct account_statement {
    std::string customer;
    std::vector<account_record> records; // in order of receipt; outcome `open` if no end was found
    std::map<std::pair<std::string, account_outcome>, std::uint64_t> totals; // by kind and outcome
    wall_time from; // of the first and last batch read
    wall_time until;
    // Requests received after this time may still be buffered in a running instance.
    wall_time complete_until;
    std::vector<account_gap> gaps;
    std::vector<unknown_request> unknowns;
    std::vector<std::string> duplicate_answers; // ids with more than one recorded end
    std::vector<std::string> duplicate_starts;  // ids with more starts than allowed, or two owners

    // True if no request received before complete_until can be missing and each one has its end
    // recorded.
    bool is_complete() const;
};

// Plain text for the operator: whether the account is complete, totals, gaps, unknown outcomes and
// duplicates.
std::string to_text(const account_statement& statement);

// Builds a statement from log records in order of offset, from an archive, the log or both.
class account_statement_builder {
public:
    explicit account_statement_builder(std::string customer);

    // Adds a record. One before next_offset() is ignored, since archive and log overlap; skipped
    // offsets are recorded as a gap.
    void add(const log_record& record);

    // Offset of the next record to be added.
    log_offset next_offset() const { return next_offset_; }

    // Records the log's end offset.
    void note_log_end(log_offset end, wall_time now);
    // Records that the rest of the log could not be read.
    void note_log_not_read(std::string why, wall_time now);

    account_statement finish(wall_time now) &&;

private:
    struct missing_numbers {
        std::uint64_t first = 0;
        std::uint64_t last = 0;
        wall_time from;
        wall_time until;
    };
    struct writer {
        std::uint64_t next_number = 1;
        std::vector<missing_numbers> missing;
        wall_time first_written;
        wall_time last_written;
        wall_time watermark;
        bool is_closed = false;
        std::uint64_t log_gaps_seen = 0; // gaps of the log before its newest batch
    };
    using writer_key = std::pair<std::string, std::uint64_t>; // instance and incarnation
    struct request {
        account_record record;
        writer_key owner;
    };

    bool accept_number(writer& it, const account_batch& batch);
    void add_receipt(const account_receipt& it, const writer_key& owner);
    void add_end(const account_record& it, const writer_key& owner);
    bool has_ended(const writer_key& key, const writer& it, wall_time now) const;
    std::string describe_open(const request& it, wall_time now) const;

    account_statement statement_;
    std::map<writer_key, writer> writers_;
    std::map<std::string, request> requests_; // by submission id, of the customer only
    std::vector<account_record> repeated_ends_;
    log_offset next_offset_ = 0;
    wall_time last_time_;
    std::uint64_t log_gaps_ = 0;
    bool has_batch_ = false;
};

} // namespace cactusloom
