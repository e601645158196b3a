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

} // namespace cactusloom
