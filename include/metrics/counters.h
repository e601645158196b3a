#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace cactusloom {

// Named counts of events since the start of the process.
class counters {
public:
    counters() = default;
    counters(const counters&) = delete;
    counters& operator=(const counters&) = delete;

    // Returns the count with this name, made with zero at first. The reference stays valid, so
    // a user looks its counts up once and then only increments.
    std::uint64_t& get(std::string_view name);

    // All counts in the order they were made.
    const std::deque<std::pair<std::string, std::uint64_t>>& all() const { return counts_; }

private:
    std::deque<std::pair<std::string, std::uint64_t>> counts_;
};

} // namespace cactusloom
