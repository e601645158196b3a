#pragma once

#include "admission/fair_queue.h"
#include "config/deployment.h"

#include <span>
#include <vector>

namespace cactusloom {

// Counts the running tasks of each team against this instance's share of its quota. A team at its
// quota may still start tasks while no team within its quota has any waiting (see fair_queue).
class team_quotas {
public:
    // `share` is the fraction of the total load that this instance handles, 0 to 1.
    team_quotas(std::span<const team_quota> teams, double share);

    void record_start(team_index team) { ++teams_[team].running; }
    void record_end(team_index team) { --teams_[team].running; }

    bool is_over(team_index team) const
    {
        return teams_[team].limit != 0 && teams_[team].running >= teams_[team].limit;
    }

    std::uint32_t running(team_index team) const { return teams_[team].running; }

    // Changes the limits after a change of membership. The caller must call is_over() again.
    void set_share(double share);

    // Changes the quotas. Teams keep their positions and new ones may be appended. The caller must
    // call is_over() again.
    void update(std::span<const team_quota> teams);

private:
    struct entry {
        std::uint32_t total_limit = 0; // over all instances; 0 for no limit
        std::uint32_t limit = 0;       // of this instance; 0 for no limit
        std::uint32_t running = 0;
    };

    std::vector<entry> teams_;
    double share_;
};

} // namespace cactusloom
