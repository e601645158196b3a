#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace cactusloom {

// Named event counters since the start of the process.
class counters {
public:
    counters() = default;
    counters(const counters&) = delete;
    counters& operator=(const counters&) = delete;

    // Returns the counter with this name, creating it with zero. The reference stays valid, so that
    // users look up a counter once and then only increment it.
    std::uint64_t& get(std::string_view name);

    // All counters in order of creation.
    const std::deque<std::pair<std::string, std::uint64_t>>& all() const { return counts_; }

private:
    std::deque<std::pair<std::string, std::uint64_t>> counts_;
};

} // namespace cactusloom
