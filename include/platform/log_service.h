#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

using log_offset = std::uint64_t;

// One record of a stream. The offsets of a stream start at zero and have no gaps.
struct log_record {
    log_offset offset = 0;
    wall_time time; // when the log service stored it
    std::string content;
};

// Result of a read. Records before first_retained were deleted by the retention policy.
struct log_page {
    std::vector<log_record> records;
    log_offset first_retained = 0;
    log_offset end = 0; // offset of the next append
};

// The platform's append-only log. It sustains several hundred appends per second in total, each
// taking a few milliseconds.
class log_service {
public:
    using append_callback = std::function<void(result<log_offset>)>;
    using read_callback = std::function<void(result<log_page>)>;

    log_service() = default;
    log_service(const log_service&) = delete;
    log_service& operator=(const log_service&) = delete;
    virtual ~log_service() = default;

    // Appends one record. Error `unavailable`: the record was not stored; `reply_lost`: it may have
    // been stored.
    virtual void append(std::string_view stream, std::string content, append_callback done) = 0;

    // Reads up to `max_records` records starting at `from`, or at the first retained record if that
    // is later.
    virtual void read(std::string_view stream, log_offset from, std::size_t max_records,
                      read_callback done) = 0;
};

} // namespace cactusloom
