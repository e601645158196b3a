#include "cell/cut_watch.h"

namespace cactusloom {

cut_watch::phase cut_watch::update(bool is_minority, monotonic_time now)
{
    if (is_minority) {
        last_cut_at_ = now;
        phase_ = phase::cut;
    }
    else if (phase_ != phase::whole) {
        phase_ = now - last_cut_at_ > cut_ending_time ? phase::whole : phase::ending;
    }
    return phase_;
}

} // namespace cactusloom
