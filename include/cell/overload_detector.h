#pragma once

#include "base/time.h"

namespace cactusloom {

// Tells from how late a periodic timer fires whether this process gets too little processor time
// for its work: the machine has turned slow or the work is too much. One long pause does not count.
class overload_detector {
public:
    // The timer has fired `late` after its time, `elapsed` after it fired last.
    void add_sample(duration late, duration elapsed, monotonic_time now);

    bool is_overloaded() const { return overloaded_; }

private:
    double late_share_ = 0; // smoothed
    bool overloaded_ = false;
    monotonic_time last_busy_at_;
};

} // namespace cactusloom
