#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace cactusloom {

// How long ids under a prefix may be submitted for the first time.
inline constexpr duration prefix_validity = std::chrono::seconds{120};

// Remembers which submission ids this incarnation has accepted, so that none is accepted twice.
//
// An id is remembered until its prefix expires; after that the age of the prefix alone refuses it.
// Forgetting an id therefore never makes it acceptable again. Ids are kept by the time their
// prefix was issued, so that expired ones are dropped table by table without being looked at.
// An id is stored as its 64-bit hash: a collision refuses an id that was never seen, which is
// safe, and never accepts one twice.
class submission_registry {
public:
    enum class verdict {
        fresh,    // not seen; now remembered, and the caller must run it
        known,    // seen with the same body
        conflict, // seen with another body
        expired,  // too old to tell whether it was seen
        invalid,  // claims an issue time in the future
        full,     // not seen, not remembered: must be refused as not run
    };

    explicit submission_registry(std::size_t max_ids) : max_ids_(max_ids) {}

    // Looks an id up and remembers it if it is new. `issued` comes from its prefix.
    verdict try_insert(std::uint64_t id_hash, std::uint64_t body_digest, monotonic_time issued,
                       monotonic_time now);

    // Looks an id up without remembering it. Never returns `full`.
    verdict find(std::uint64_t id_hash, std::uint64_t body_digest, monotonic_time issued,
                 monotonic_time now) const;

    std::size_t size() const { return size_; }
    std::size_t bytes() const;

private:
    struct entry {
        std::uint64_t id_hash = 0; // zero marks a free place
        std::uint64_t body_digest = 0;
    };

    // The ids whose prefixes were issued in one span of time. Open addressing, linear probing.
    struct table {
        std::vector<entry> entries;
        std::size_t used = 0;
    };

    static std::size_t find_slot(const std::vector<entry>& entries, std::uint64_t id_hash);
    const entry* find_entry(std::uint64_t id_hash, monotonic_time issued) const;
    table& table_at(std::int64_t span);
    void drop_expired(monotonic_time now);

    std::size_t max_ids_;
    std::size_t size_ = 0;
    std::int64_t first_bucket_ = 0; // span of tables_.front()
    std::deque<table> tables_;
};

} // namespace cactusloom
