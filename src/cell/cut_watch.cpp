#include "cell/cut_watch.h"

namespace cactusloom {

namespace {

// Two beats and a link that is opened anew.
constexpr duration ending_time = std::chrono::milliseconds{350};

} // namespace

cut_watch::phase cut_watch::update(bool is_minority, monotonic_time now)
{
    if (is_minority) {
        last_cut_at_ = now;
        phase_ = phase::cut;
    }
    else if (phase_ != phase::whole) {
        phase_ = now - last_cut_at_ > ending_time ? phase::whole : phase::ending;
    }
    return phase_;
}

} // namespace cactusloom
