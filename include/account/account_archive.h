#pragma once

#include "base/result.h"
#include "platform/log_service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cactusloom {

// Append-only copy of the account stream in a file on the operator's disk, one JSON line for each
// log record. Used by the command line only; instances have no disks.
class account_archive {
public:
    enum class mode : std::uint8_t { read, append };

    // Opens a file; in mode `append` it is created if absent and locked against a second exporter
    // (error `conflict`). A line truncated by a crash is left in place and ignored.
    static result<std::unique_ptr<account_archive>> open(const std::string& path, mode how);
    ~account_archive();
    account_archive(const account_archive&) = delete;
    account_archive& operator=(const account_archive&) = delete;

    // Offset that the next record must have or exceed.
    log_offset next_offset() const { return next_offset_; }
    // Lines that could not be decoded. Their offsets appear as a gap.
    std::size_t damaged_lines() const { return damaged_lines_; }

    // Adds a record. It is on the disk only after sync().
    result<void> append(const log_record& record);
    result<void> sync();

    // Calls `fn` for each record in order of offset.
    result<void> for_each(const std::function<void(const log_record&)>& fn) const;

private:
    account_archive(std::string path, int file);
    result<void> scan();

    std::string path_;
    int file_ = -1; // open for appending, or -1
    std::string pending_;
    log_offset next_offset_ = 0;
    std::size_t damaged_lines_ = 0;
};

// Result of one export.
struct account_export {
    std::uint64_t exported = 0; // records
    std::uint64_t missed = 0;   // records that retention had dropped before this export
    log_offset reached = 0;
};

// Appends everything that the log retains beyond the archive's end to the archive. Error `conflict`
// if the log ends before the archive, so that it is another log or has been rewound.
void export_account(log_service& log, account_archive& archive,
                    std::function<void(result<account_export>)> done);

} // namespace cactusloom
