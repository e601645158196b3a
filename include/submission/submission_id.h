#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusloom {

// Content of a submission id prefix. Only the incarnation that issued a prefix ever starts tasks of
// ids with that prefix.
struct submission_prefix {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0; // different for each start of the process
    monotonic_time issued;         // on the monotonic clock of that incarnation

    bool operator==(const submission_prefix&) const = default;
};

// A submission id, "<prefix>.<suffix>". The caller chooses the suffix.
struct submission_id {
    submission_prefix prefix;
    std::string_view suffix; // view into the parsed text
};

// Longest suffix that a caller may choose, in characters.
inline constexpr std::size_t max_suffix_length = 64;

// Longest id that is parsed. Two names of 64 characters fit even if every character is escaped.
inline constexpr std::size_t max_submission_id_length = 512;

// Formats a prefix as "instance~data_centre~incarnation~issued~checksum". It consists of letters,
// digits, '-', '_' and '~' only, so it needs no escaping in a URL path. `key` is the same on all
// instances of a deployment; the checksum detects damaged and made-up ids but is not a
// cryptographic signature.
std::string make_prefix(const submission_prefix& prefix, std::uint64_t key);

// Parses a prefix. Error `invalid_argument`: malformed, or the checksum does not match.
result<submission_prefix> parse_prefix(std::string_view text, std::uint64_t key);

// Parses an id. The suffix must have 1 to 64 letters, digits, '-', '_', '~' or '.', and is returned
// as a view into `text`. Errors as for parse_prefix().
result<submission_id> parse_submission_id(std::string_view text, std::uint64_t key);

} // namespace cactusloom
