#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cactusloom {

// Where the tasks of recent jobs were placed, by rack, so that one lost rack hits a small part
// of each job. A fixed number of jobs is remembered; a new one takes the place of an old one.
class job_spread {
public:
    explicit job_spread(std::span<const float> rack_slot_share);

    // Writes the penalty of each rack for the next task of a job, 0 to 1: by how much the rack's
    // part of the job exceeds its part of the slots.
    std::span<const float> penalties(std::uint64_t job_key);

    void add(std::uint64_t job_key, std::size_t rack);

private:
    static constexpr std::size_t jobs = 64;

    std::size_t find(std::uint64_t job_key);

    std::vector<float> rack_slot_share_;
    std::vector<float> counts_; // jobs x racks
    std::vector<float> totals_;
    std::vector<std::uint64_t> keys_;
    std::vector<float> penalties_;
};

} // namespace cactusloom
