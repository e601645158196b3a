#include "account/account_record.h"

#include <algorithm>

namespace cactusloom {

const char* to_string(account_outcome outcome)
{
    switch (outcome) {
    case account_outcome::completed:
        return "completed";
    case account_outcome::failed_not_run:
        return "failed_not_run";
    case account_outcome::failed_after_run:
        return "failed_after_run";
    case account_outcome::unknown:
        return "unknown";
    case account_outcome::open:
        return "open";
    }
    return "unknown";
}

std::uint64_t account_record::starts() const
{
    std::uint64_t n = 0;
    for (const auto& it : workers) {
        n += it.starts;
    }
    return n;
}

std::size_t account_record::memory_size() const
{
    std::size_t n = sizeof(*this) + receipt.customer.capacity() + receipt.submission_id.capacity() +
                    receipt.kind.capacity() + reason.capacity() +
                    workers.capacity() * sizeof(worker_use);
    for (const auto& it : workers) {
        n += it.worker.capacity();
    }
    return n;
}

void dropped_records::add(wall_time first, wall_time last)
{
    from = count == 0 ? first : std::min(from, first);
    until = count == 0 ? last : std::max(until, last);
    ++count;
}

} // namespace cactusloom
