#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusloom {

// What an entry instance writes into a prefix. Only the incarnation that issued a prefix ever
// starts tasks of the ids made under it.
struct submission_prefix {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0; // differs for each start of the process
    monotonic_time issued;         // on the monotonic clock of that incarnation

    bool operator==(const submission_prefix&) const = default;
};

// A whole submission id, "<prefix>.<suffix>". The caller chooses the suffix.
struct submission_id {
    submission_prefix prefix;
    std::string_view suffix; // part of the parsed text
};

// Longest suffix that a caller may choose, in characters.
inline constexpr std::size_t max_suffix_length = 64;

// Longest id that is looked at. Two names of 64 characters fit even when all need escapes.
inline constexpr std::size_t max_submission_id_length = 512;

// Text of a prefix, "instance~data_centre~incarnation~issued~checksum". It has only letters,
// digits, '-', '_' and '~', so it can stand in a URL path. `key` is shared by the instances of a
// deployment; the checksum finds mangled and invented ids but is no protection of a secret.
std::string make_prefix(const submission_prefix& prefix, std::uint64_t key);

// Reads a prefix back. Error `invalid_argument`: malformed or the checksum does not match.
result<submission_prefix> parse_prefix(std::string_view text, std::uint64_t key);

// Reads an id. The suffix has 1 to 64 letters, digits, '-', '_', '~' or '.'. The suffix is a view
// into `text`. Error as for parse_prefix().
result<submission_id> parse_submission_id(std::string_view text, std::uint64_t key);

} // namespace cactusloom
