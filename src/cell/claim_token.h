#pragma once

#include <cstdint>

namespace cactusloom {

// Tokens hold wall-clock milliseconds in the upper bits, so that a claim needs no stored counter:
// after all instances have died, later claims are still higher. The low bits tell instances apart.
inline constexpr std::uint64_t token_time_shift = 10;
// Raises a token above one that a controller with a clock ahead of the others may have left at the
// workers.
inline constexpr std::uint64_t token_raise_step = std::uint64_t{6000} << token_time_shift;

} // namespace cactusloom
