#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace cactusloom {

// One process of an instance. A restarted instance keeps its name, but it is another process that
// knows nothing of the jobs of its predecessor.
struct instance_process {
    std::string name;
    std::int64_t incarnation = 0; // start time of the process, Unix ms

    bool operator==(const instance_process&) const = default;

    // By name, then by start time.
    bool operator<(const instance_process& other) const
    {
        return std::tie(name, incarnation) < std::tie(other.name, other.incarnation);
    }
};

// A link on which a process sends messages. Whatever was sent on an earlier link of the process may
// have been lost.
struct peer_link {
    instance_process process;
    std::uint64_t number = 0; // rises with each link that the process opens

    bool is_of(const instance_process& other) const { return process == other; }

    // True if the same process has replaced this link by `newer`.
    bool is_replaced_by(const peer_link& newer) const
    {
        return process == newer.process && number < newer.number;
    }
};

} // namespace cactusloom
