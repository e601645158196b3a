#include "admission/team_quotas.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {

team_quotas::team_quotas(std::span<const team_quota> teams, double share)
{
    teams_.reserve(teams.size());
    for (const team_quota& it : teams) {
        teams_.push_back({it.max_in_flight, 0, 0});
    }
    set_share(share);
}

void team_quotas::set_share(double share)
{
    for (entry& it : teams_) {
        // At least one, because zero stands for no limit and a team must get somewhere.
        const double part = std::ceil(it.total_limit * std::clamp(share, 0.0, 1.0));
        it.limit = it.total_limit == 0 ? 0 : std::max(1U, static_cast<std::uint32_t>(part));
    }
}

} // namespace cactusloom
