#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cactusloom {

// Decides whether unresponsive members are dead or their whole data centre is partitioned.
class partition_detector {
public:
    enum class verdict {
        members_died, // another member there responds, or there is no other to probe
        partitioned,
        undecided, // too few members probed yet
    };

    // `window` is the time within which a contact counts as recent.
    explicit partition_detector(duration window) : window_(window) {}

    // Call when a member of the data centre replied or sent a request. Returns true if that ends a
    // period without contact to the whole data centre, whether or not it was marked as partitioned:
    // probes that failed in that period are no evidence against single members.
    bool record_contact(std::string_view data_centre, monotonic_time now);

    // Call when a probe of a member of the data centre failed.
    void record_failed_probe(std::string_view data_centre);

    // Classifies a data centre with `live` live members, of which `suspects` are suspect.
    verdict classify(std::string_view data_centre, std::size_t live, std::size_t suspects,
                     monotonic_time now) const;

    void mark_partitioned(std::string_view data_centre, monotonic_time now);
    bool is_partitioned(std::string_view data_centre) const;
    // Time since the data centre was marked as partitioned, zero if it is not.
    duration partitioned_for(std::string_view data_centre, monotonic_time now) const;

    // True if there was contact to any data centre within the window.
    bool any_recent_contact(monotonic_time now) const;

private:
    struct contact {
        monotonic_time last{};
        monotonic_time partitioned_since{};
        bool has_contact = false;
        bool partitioned = false;
        unsigned consecutive_contacts = 0; // since it was marked, without a failed probe between
    };

    bool is_recent(const contact& it, monotonic_time now) const
    {
        return it.has_contact && now - it.last <= window_;
    }

    duration window_;
    std::map<std::string, contact, std::less<>> contacts_;
};

} // namespace cactusloom
