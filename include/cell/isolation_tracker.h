#pragma once

#include "base/time.h"

namespace cactusloom {

// Time after a partition in which both sides learn each other's claims: two heartbeats and the
// opening of a new link.
inline constexpr duration rejoin_grace = std::chrono::milliseconds{350};

// Tracks whether this instance's data centre is isolated by a network partition. While it is, it
// controls its own cell. When the partition ends, its controller keeps that cell until the other
// side has had time to announce its claims, but no instance claims the cell any more, since the
// other side also controls it.
class isolation_tracker {
public:
    enum class phase {
        connected, // no partition, or in the majority side
        isolated,  // in the minority side
        rejoining, // the partition has just ended
    };

    phase update(bool is_isolated_data_centre, monotonic_time now);
    phase current_phase() const { return phase_; }

private:
    phase phase_ = phase::connected;
    monotonic_time last_cut_at_;
};

} // namespace cactusloom
