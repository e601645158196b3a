#pragma once

namespace cactusloom {

// Measured speed of one worker. A worker that was replaced may run at the speed of another kind
// than its label tells.
class worker_speed {
public:
    // Adds a run; `log_factor` is the natural logarithm of its run time over that at speed 1.
    void learn(double log_factor);

    // True if there are enough runs.
    bool is_known() const;

    // Mean of the logarithms.
    double log_factor() const { return mean_; }

    // True if the run times clearly differ from those of the kind.
    bool differs_from(double kind_factor) const;

    // Run time as a multiple of that at speed 1: the kind's, unless the worker differs from it.
    double factor(double kind_factor) const;

private:
    double mean_ = 0; // with exponential forgetting
    double weight_ = 0;
};

} // namespace cactusloom
