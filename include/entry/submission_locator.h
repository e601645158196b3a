#pragma once

#include "submission/submission_id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusloom {

class member_table;

// Where a submission id is served, as far as this instance knows.
enum class submission_place {
    local,       // this incarnation issued the prefix
    remote,      // a live member issued it; forward there
    gone,        // the issuing incarnation is dead, has left or was replaced
    unreachable, // the issuer's data centre is cut off, or the issuer is not known here
    malformed,   // not an id of this deployment
};

struct submission_location {
    submission_place place = submission_place::malformed;
    std::string address; // of the owner if remote
    std::string reason;  // for a person, unless local or remote
};

// Decides from the id and the known members. Only `local` permits a start here: whatever this
// instance believes about the owner, it never starts tasks of an id that another one issued.
submission_location locate_submission(std::string_view id, const member_table& members,
                                      std::uint64_t checksum_key);

} // namespace cactusloom
