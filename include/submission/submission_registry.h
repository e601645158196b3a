#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace cactusloom {

// Time after the issue of a prefix during which ids with it may be submitted for the first time.
inline constexpr duration prefix_validity = std::chrono::seconds{120};

// Records which submission ids this incarnation has accepted, so that none is accepted twice.
//
// An id is kept until its prefix expires and is refused by the age of its prefix afterwards, so
// dropping it never makes it acceptable again. Ids are grouped by the issue time of their prefix,
// so that expired ids are dropped a table at a time. Only the 64-bit hash of an id is stored: a
// collision makes the registry refuse an id that was never seen, which is safe, but never accept
// one twice.
class submission_registry {
public:
    enum class verdict {
        fresh,    // not seen before; try_insert() has recorded it and the caller must run it
        known,    // seen before with the same body
        conflict, // seen before with another body
        expired,  // too old to know whether it was seen
        invalid,  // the issue time is in the future
        full,     // not seen before, but not recorded either: must be refused as not run
    };

    explicit submission_registry(std::size_t max_ids) : max_ids_(max_ids) {}

    // Looks up an id and records it if it is new. `issued` is the issue time of its prefix.
    verdict try_insert(std::uint64_t id_hash, std::uint64_t body_digest, monotonic_time issued,
                       monotonic_time now);

    // Looks up an id without recording it. Never returns `full`.
    verdict find(std::uint64_t id_hash, std::uint64_t body_digest, monotonic_time issued,
                 monotonic_time now) const;

    std::size_t size() const { return size_; }
    std::size_t bytes() const;

private:
    struct entry {
        std::uint64_t id_hash = 0; // zero marks a free slot
        std::uint64_t body_digest = 0;
    };

    // Ids whose prefixes were issued in one time interval. Open addressing with linear probing.
    struct table {
        std::vector<entry> entries;
        std::size_t used = 0;
    };

    static std::size_t find_slot(const std::vector<entry>& entries, std::uint64_t id_hash);
    const entry* find_entry(std::uint64_t id_hash, monotonic_time issued) const;
    table& table_at(std::int64_t bucket);
    void drop_expired(monotonic_time now);

    std::size_t max_ids_;
    std::size_t size_ = 0;
    std::int64_t first_bucket_ = 0; // time interval of tables_.front()
    std::deque<table> tables_;
};

} // namespace cactusloom
