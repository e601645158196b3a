#pragma once

#include "submission/submission_id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusloom {

class member_table;

// Which instance owns a submission id, as far as this instance knows.
enum class submission_place {
    local,       // this incarnation issued the prefix
    remote,      // a live member issued it; forward the request to it
    gone,        // the issuing incarnation is dead, has left or was restarted
    unreachable, // the issuer's data centre is unreachable, or the issuer is unknown
    malformed,   // not a valid id of this deployment
};

struct submission_location {
    submission_place place = submission_place::malformed;
    std::string address; // of the owner if remote
    std::string reason;  // human-readable; empty if local or remote
};

// Locates an id from its prefix and the membership. Tasks may only be started here for `local`:
// whatever its view of the owner, an instance never starts tasks of an id that another one issued.
submission_location locate_submission(std::string_view id, const member_table& members,
                                      std::uint64_t checksum_key);

} // namespace cactusloom
