#pragma once

#include "base/time.h"
#include "cell/instance_process.h"

#include <cstdint>
#include <memory>

namespace cactusloom {

// A link on which a process sends messages. Whatever was sent on an earlier link of the process may
// have been lost.
struct peer_link {
    instance_process process;
    std::uint64_t number = 0; // rises with each link that the process opens
    // The process waits for its jobs on this link, as far as it has read what its callers had sent
    // by this time, on the clock of the receiver. Null if jobs are not leased.
    std::shared_ptr<const monotonic_time> renewed_at{};

    bool is_of(const instance_process& other) const { return process == other; }

    // True if the same process has replaced this link by `newer`.
    bool is_replaced_by(const peer_link& newer) const
    {
        return process == newer.process && number < newer.number;
    }
};

} // namespace cactusloom
