#pragma once

#include "base/time.h"

namespace cactusloom {

// Detects from the lateness of a periodic timer that this process gets too little CPU time for its
// work: the machine has become slow or the load is too high. A single long pause does not count.
class overload_detector {
public:
    // Adds a firing of the timer: `late` after its due time and `elapsed` after its last firing.
    void add_sample(duration late, duration elapsed, monotonic_time now);

    bool is_overloaded() const { return overloaded_; }

private:
    double late_share_ = 0; // exponentially smoothed
    bool overloaded_ = false;
    monotonic_time last_busy_at_;
};

} // namespace cactusloom
