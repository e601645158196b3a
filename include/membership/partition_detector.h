#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cactusloom {

// Decides whether silence of members means that they died or that their data centre is cut off.
class partition_detector {
public:
    enum class verdict {
        members_died, // somebody else there answers, or there is nobody else to ask
        partitioned,
        undecided, // too few members probed yet
    };

    // `window` is the time within which an answer counts as recent.
    explicit partition_detector(duration window) : window_(window) {}

    // A member of the data centre answered or sent a request. Returns true if that ends a silence
    // of the whole data centre, marked as a cut or not: misses from before then prove nothing about
    // single members.
    bool heard(std::string_view data_centre, monotonic_time now);

    // A probe into the data centre failed.
    void record_failed_probe(std::string_view data_centre);

    // Judges a data centre with `live` live members, of which `suspects` are suspect.
    verdict classify(std::string_view data_centre, std::size_t live, std::size_t suspects,
                     monotonic_time now) const;

    void mark_partitioned(std::string_view data_centre, monotonic_time now);
    bool is_partitioned(std::string_view data_centre) const;
    // Time since the data centre was marked, zero if it is not cut off.
    duration partitioned_for(std::string_view data_centre, monotonic_time now) const;

    // True if any data centre was heard from within the window.
    bool any_recent_contact(monotonic_time now) const;

private:
    struct contact {
        monotonic_time last{};
        monotonic_time partitioned_since{};
        bool has_contact = false;
        bool partitioned = false;
        unsigned consecutive_contacts = 0; // in a row since it was marked
    };

    bool is_recent(const contact& it, monotonic_time now) const
    {
        return it.has_contact && now - it.last <= window_;
    }

    duration window_;
    std::map<std::string, contact, std::less<>> contacts_;
};

} // namespace cactusloom
