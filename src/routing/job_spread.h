#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cactusloom {

// Counts the tasks of recent jobs by rack, so that the loss of a rack affects a small part of each
// job. Keeps a fixed number of jobs; a new job replaces an older one with the same hash slot.
class job_spread {
public:
    explicit job_spread(std::span<const float> rack_slot_share);

    // Penalty of each rack for the next task of a job, 0 to 1: the excess of the rack's share of
    // the job over its share of the slots. The result is valid until the next call.
    std::span<const float> penalties(std::uint64_t job_key);

    void add(std::uint64_t job_key, std::size_t rack);

private:
    static constexpr std::size_t max_jobs = 64;

    std::size_t find_or_replace(std::uint64_t job_key);

    std::vector<float> rack_slot_share_;
    std::vector<float> counts_; // by job and rack
    std::vector<float> totals_;
    std::vector<std::uint64_t> keys_;
    std::vector<float> penalties_;
};

} // namespace cactusloom
