#pragma once

#include <boost/random/taus88.hpp>
#include <cstdint>

namespace cactusloom {

// Random engine for jitter and sampling: three words of state, a few instructions per draw.
using random_engine = boost::random::taus88;

// Returns a random number in [0, bound). The bound must not be zero.
inline std::uint32_t draw_below(random_engine& engine, std::uint32_t bound)
{
    // Lemire's multiply-shift; the bias is below 2^-20 for the bounds in use (up to 4096).
    return static_cast<std::uint32_t>((std::uint64_t{engine()} * bound) >> 32U);
}

} // namespace cactusloom
