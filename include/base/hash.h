#pragma once

#include <cstdint>
#include <string_view>

namespace cactusloom {

// XXH3 hash of a text. Stable across processes and versions, not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace cactusloom
