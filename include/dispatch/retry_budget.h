#pragma once

#include "base/random.h"
#include "base/time.h"

namespace cactusloom {

// Token bucket that limits retries to a fraction of the first starts, so that retries cannot
// amplify an overload. Also computes the backoff between retries.
class retry_budget {
public:
    // `ratio` is the number of retries allowed per first start, for example 0.1.
    retry_budget(double ratio, std::uint32_t seed);

    // Changes the ratio; tokens saved so far are kept.
    void set_ratio(double ratio) { ratio_ = ratio; }

    void record_first_start();

    // Takes the token for one retry. Returns false if the budget is exhausted.
    bool try_take();

    // Delay before the `retry`-th retry of a task, from 1. Doubles from 2 ms up to 100 ms, times a
    // random factor between 0.5 and 1.5 so that tasks refused together do not retry together.
    duration backoff(unsigned retry);

private:
    double ratio_;
    double tokens_;
    random_engine random_;
};

} // namespace cactusloom
