#include "submission/submission_registry.h"

#include <algorithm>

namespace cactusloom {
namespace {

// Length of the time interval of one table. Short, so that expired ids are dropped soon; 31 tables
// cover prefix_validity.
constexpr duration bucket_length = std::chrono::seconds{4};
constexpr std::size_t min_table_size = 16;

std::int64_t bucket_of(monotonic_time time)
{
    return time.time_since_epoch() / bucket_length;
}

// Zero marks a free slot.
std::uint64_t nonzero_hash(std::uint64_t id_hash)
{
    return id_hash == 0 ? ~std::uint64_t{0} : id_hash;
}

} // namespace

submission_registry::verdict submission_registry::find(std::uint64_t id_hash,
                                                       std::uint64_t body_digest,
                                                       monotonic_time issued,
                                                       monotonic_time now) const
{
    if (issued > now) {
        return verdict::invalid;
    }
    // The age is checked first, so that the result does not depend on when tables are dropped.
    if (now - issued > prefix_validity) {
        return verdict::expired;
    }
    const entry* it = find_entry(nonzero_hash(id_hash), issued);
    if (it == nullptr) {
        return verdict::fresh;
    }
    return it->body_digest == body_digest ? verdict::known : verdict::conflict;
}

submission_registry::verdict submission_registry::try_insert(std::uint64_t id_hash,
                                                             std::uint64_t body_digest,
                                                             monotonic_time issued,
                                                             monotonic_time now)
{
    drop_expired(now);
    const verdict found = find(id_hash, body_digest, issued, now);
    if (found != verdict::fresh) {
        return found;
    }
    if (size_ >= max_ids_) {
        return verdict::full;
    }
    table& target = table_at(bucket_of(issued));
    // Maximum load factor of three quarters, at which the expected probe length is below three.
    if (target.used * 4 >= target.entries.size() * 3) {
        std::vector<entry> larger(std::max(min_table_size, target.entries.size() * 2));
        for (const entry& old : target.entries) {
            if (old.id_hash != 0) {
                larger[find_slot(larger, old.id_hash)] = old;
            }
        }
        target.entries = std::move(larger);
    }
    target.entries[find_slot(target.entries, nonzero_hash(id_hash))] = {nonzero_hash(id_hash),
                                                                        body_digest};
    ++target.used;
    ++size_;
    return verdict::fresh;
}

std::size_t submission_registry::bytes() const
{
    std::size_t sum = sizeof(*this);
    for (const table& it : tables_) {
        sum += sizeof(it) + it.entries.capacity() * sizeof(entry);
    }
    return sum;
}

// Returns the slot that holds the id, or the free slot where it belongs. The size must be a power
// of two and at least one slot must be free.
std::size_t submission_registry::find_slot(const std::vector<entry>& entries, std::uint64_t id_hash)
{
    const std::size_t mask = entries.size() - 1;
    std::size_t n = id_hash & mask;
    while (entries[n].id_hash != 0 && entries[n].id_hash != id_hash) {
        n = (n + 1) & mask;
    }
    return n;
}

const submission_registry::entry* submission_registry::find_entry(std::uint64_t id_hash,
                                                                  monotonic_time issued) const
{
    const std::int64_t n = bucket_of(issued) - first_bucket_;
    if (n < 0 || n >= static_cast<std::int64_t>(tables_.size())) {
        return nullptr;
    }
    const table& target = tables_[static_cast<std::size_t>(n)];
    if (target.entries.empty()) {
        return nullptr;
    }
    const entry& found = target.entries[find_slot(target.entries, id_hash)];
    return found.id_hash == 0 ? nullptr : &found;
}

submission_registry::table& submission_registry::table_at(std::int64_t bucket)
{
    if (tables_.empty()) {
        first_bucket_ = bucket;
    }
    while (bucket < first_bucket_) {
        tables_.emplace_front();
        --first_bucket_;
    }
    while (bucket >= first_bucket_ + static_cast<std::int64_t>(tables_.size())) {
        tables_.emplace_back();
    }
    return tables_[static_cast<std::size_t>(bucket - first_bucket_)];
}

void submission_registry::drop_expired(monotonic_time now)
{
    const std::int64_t oldest = bucket_of(now - prefix_validity);
    while (!tables_.empty() && first_bucket_ < oldest) {
        size_ -= tables_.front().used;
        tables_.pop_front();
        ++first_bucket_;
    }
}

} // namespace cactusloom
