#pragma once

#include <string>

namespace cactusloom {

// Category of a failure, by which callers choose their reaction.
enum class errc {
    invalid_argument,
    not_found,
    conflict,
    unavailable, // guaranteed to have had no effect
    reply_lost,  // may have taken effect
    limit_exceeded,
    timed_out,
    not_ready,
    internal,
};

// A failure with a human-readable message.
struct error {
    errc code = errc::internal;
    std::string message;
};

// Returns the stable lower-case name of a code, as used in JSON replies and logs.
const char* to_string(errc code);

} // namespace cactusloom
