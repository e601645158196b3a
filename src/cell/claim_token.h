#pragma once

#include <cstdint>

namespace cactusloom {

// Tokens are wall-clock milliseconds in the upper bits, so that a claim needs no store: after all
// instances have died, later claims are still higher. The low bits tell instances apart.
inline constexpr std::uint64_t token_time_shift = 10;
// Raises a token beyond what a clock that had jumped ahead may have left at the workers.
inline constexpr std::uint64_t token_raise_step = std::uint64_t{6000} << token_time_shift;

} // namespace cactusloom
