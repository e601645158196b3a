#pragma once

#include "base/time.h"

namespace cactusloom {

// Source of time, an interface so that tests can run in simulated time.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    virtual monotonic_time monotonic_now() const = 0;
    virtual wall_time wall_now() const = 0;
};

} // namespace cactusloom
