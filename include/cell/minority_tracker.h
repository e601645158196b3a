#pragma once

#include "base/time.h"

namespace cactusloom {

// Tracks whether this instance reaches only a minority of the instances. If the others are
// partitioned rather than down, their controllers go on and reach the same workers, so that a claim
// from here would take those workers away from all other jobs. An instance in a minority therefore
// claims only after a probe, and not at all once the workers were seen to accept a token from an
// unreachable controller.
class minority_tracker {
public:
    // `isolated_data_centre`: the data centre as a whole is isolated and controls its own workers.
    void update(bool in_minority, bool isolated_data_centre, monotonic_time now);

    bool in_minority() const { return since_ != monotonic_time{}; }

    // Reports that the workers have accepted the token of an unreachable controller.
    void note_fenced() { fenced_ = in_minority(); }
    bool is_fenced() const { return fenced_; }

    // True for a short time after a partition, until the other side has announced its claims.
    bool is_rejoining(monotonic_time now) const;

    // True if jobs without a controller in contact will not be served here in time.
    bool should_fail_unassigned_jobs(monotonic_time now) const;

private:
    monotonic_time since_;    // zero: in the majority
    monotonic_time ended_at_; // zero: never in a minority
    bool isolated_data_centre_ = false;
    bool fenced_ = false;
};

} // namespace cactusloom
