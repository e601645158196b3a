#pragma once

#include <chrono>

namespace cactusloom {

using duration = std::chrono::microseconds;

// Clock type of monotonic time points. Values of different processes are not comparable.
struct monotonic_tag {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_tag>;
    static constexpr bool is_steady = true;
};

using monotonic_time = std::chrono::time_point<monotonic_tag, duration>;

// Time since the Unix epoch, for records only; decisions use monotonic time.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

} // namespace cactusloom
