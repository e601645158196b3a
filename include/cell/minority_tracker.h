#pragma once

#include "base/time.h"

namespace cactusloom {

// Follows whether this instance reaches only the smaller part of the others. If they are cut off
// rather than without power, their controllers go on and reach the same workers, so that a claim
// from here takes those away from everybody else's jobs. Whoever is on the smaller side therefore
// makes no claim without a probe, and none at all once the workers were seen to obey somebody who
// is out of touch.
class minority_tracker {
public:
    // `isolated_data_centre`: a data centre as a whole is cut off, and controls its own workers.
    void update(bool in_minority, bool isolated_data_centre, monotonic_time now);

    bool in_minority() const { return since_ != monotonic_time{}; }

    // The workers obey somebody who is out of touch.
    void note_fenced() { fenced_ = in_minority(); }
    bool is_fenced() const { return fenced_; }

    // True for a short while after the end of a cut, until the other side has said what it
    // controls.
    bool is_rejoining(monotonic_time now) const;

    // True if jobs that nobody in touch controls will not be served here in time.
    bool should_fail_unassigned_jobs(monotonic_time now) const;

private:
    monotonic_time since_;    // zero: on the larger side
    monotonic_time ended_at_; // zero: never on the smaller side
    bool isolated_data_centre_ = false;
    bool fenced_ = false;
};

} // namespace cactusloom
