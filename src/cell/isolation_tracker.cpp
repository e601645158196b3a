#include "cell/isolation_tracker.h"

namespace cactusloom {

isolation_tracker::phase isolation_tracker::update(bool is_isolated_data_centre, monotonic_time now)
{
    if (is_isolated_data_centre) {
        last_cut_at_ = now;
        phase_ = phase::isolated;
    }
    else if (phase_ != phase::connected) {
        phase_ = now - last_cut_at_ > rejoin_grace ? phase::connected : phase::rejoining;
    }
    return phase_;
}

} // namespace cactusloom
