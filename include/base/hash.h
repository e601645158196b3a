#pragma once

#include <cstdint>
#include <string_view>

namespace cactusloom {

// XXH3 hash. Stable across processes and versions; not cryptographic.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace cactusloom
