#pragma once

#include "base/time.h"

#include <optional>

namespace cactusloom {

// End of a lease, or of the first of several leases to end. It may not be known, and then nothing
// is left of it. It gives only the time that is left, which is never negative, so that no deadline
// in the past can be derived from it.
class lease_limit {
public:
    static lease_limit unknown() { return lease_limit{std::nullopt}; }
    static lease_limit at(monotonic_time end) { return lease_limit{end}; }
    static lease_limit unlimited() { return lease_limit{monotonic_time::max()}; }

    duration left(monotonic_time now) const
    {
        return end_ && *end_ > now ? *end_ - now : duration::zero();
    }

    // The one that ends first.
    friend lease_limit earlier(const lease_limit& a, const lease_limit& b)
    {
        return a.end_ < b.end_ ? a : b; // an unknown end is less than any other
    }

private:
    explicit lease_limit(std::optional<monotonic_time> end) : end_(end) {}

    std::optional<monotonic_time> end_;
};

} // namespace cactusloom
