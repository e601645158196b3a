#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cactusloom {

// One process of an instance. A restarted instance keeps its name, but it is another process that
// knows nothing of the jobs of its predecessor.
struct instance_process {
    std::string name;
    std::int64_t incarnation = 0; // start time of the process, Unix ms

    auto operator<=>(const instance_process&) const = default;
};

} // namespace cactusloom
