#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cactusloom {

// Decides whether silence of members means that they died or that their data centre is cut off.
class data_centre_watch {
public:
    enum class verdict {
        members_died, // somebody else there answers, or there is nobody else to ask
        cut_off,
        unclear, // too few members probed yet
    };

    // `window` is the time within which an answer counts as recent.
    explicit data_centre_watch(duration window) : window_(window) {}

    // A member of the data centre answered or sent a request. Returns true if that ends a silence
    // of the whole data centre, marked as a cut or not: misses from before then prove nothing about
    // single members.
    bool heard(std::string_view data_centre, monotonic_time now);

    // A probe into the data centre failed.
    void missed(std::string_view data_centre);

    // Judges a data centre with `live` live members, of which `suspects` are suspect.
    verdict judge(std::string_view data_centre, std::size_t live, std::size_t suspects,
                  monotonic_time now) const;

    void set_cut_off(std::string_view data_centre, monotonic_time now);
    bool is_cut_off(std::string_view data_centre) const;
    // Time since the data centre was marked, zero if it is not cut off.
    duration cut_off_for(std::string_view data_centre, monotonic_time now) const;

    // True if any data centre was heard from within the window.
    bool any_heard(monotonic_time now) const;

private:
    struct contact {
        monotonic_time last{};
        monotonic_time cut_off_since{};
        bool was_heard = false;
        bool cut_off = false;
        unsigned answers = 0; // in a row since it was marked
    };

    bool heard_recently(const contact& it, monotonic_time now) const
    {
        return it.was_heard && now - it.last <= window_;
    }

    duration window_;
    std::map<std::string, contact, std::less<>> contacts_;
};

} // namespace cactusloom
