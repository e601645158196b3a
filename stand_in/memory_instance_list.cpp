#include "stand_in/memory_instance_list.h"

namespace cactusloom {

void memory_instance_list::fetch(callback done)
{
    timers_.schedule(duration::zero(), [this, done = std::move(done)] {
        if (down_) {
            done(failure(errc::unavailable, "the list is down"));
            return;
        }
        done(instances_);
    });
}

} // namespace cactusloom
