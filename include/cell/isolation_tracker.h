#pragma once

#include "base/time.h"

namespace cactusloom {

// Time after a cut in which the two sides hear of each other's claims: two beats and a link that is
// opened anew.
inline constexpr duration rejoin_grace = std::chrono::milliseconds{350};

// Follows whether this instance is on the smaller side of a cut. The smaller side controls its own
// data centre's cell. When the cut ends, its controller stays until the other side has had the time
// to say what it controls, but nobody takes that cell any more: the larger side controls it too.
class isolation_tracker {
public:
    enum class phase {
        connected, // no cut, or on the larger side
        isolated,  // on the smaller side
        rejoining, // no longer, for a short while
    };

    phase update(bool is_isolated_data_centre, monotonic_time now);
    phase at() const { return phase_; }

private:
    phase phase_ = phase::connected;
    monotonic_time last_cut_at_;
};

} // namespace cactusloom
