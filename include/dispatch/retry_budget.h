#pragma once

#include "base/random.h"
#include "base/time.h"

namespace cactusloom {

// Limits retries to a part of the first starts, so that retries cannot multiply an overload, and
// spaces them out.
class retry_budget {
public:
    // `ratio` is the number of retries allowed for each first start, for example 0.1.
    retry_budget(double ratio, std::uint32_t seed);

    // Changes the ratio and keeps the tokens.
    void set_ratio(double ratio) { ratio_ = ratio; }

    void record_first_start();

    // Takes a token for one retry. False if the budget is used up.
    bool try_take();

    // Jittered wait before the `retry`-th retry of a task, from 1. Doubles from 2 ms to 100 ms;
    // the jitter is a factor between 0.5 and 1.5, so that tasks refused together spread out.
    duration backoff(unsigned retry);

private:
    double ratio_;
    double tokens_;
    random_engine random_;
};

} // namespace cactusloom
