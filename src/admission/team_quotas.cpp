#include "admission/team_quotas.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {

team_quotas::team_quotas(std::span<const team_quota> teams, double share) : share_(share)
{
    update(teams);
}

void team_quotas::update(std::span<const team_quota> teams)
{
    teams_.resize(std::max(teams_.size(), teams.size()));
    for (std::size_t n = 0; n < teams.size(); ++n) {
        teams_[n].total_limit = teams[n].max_in_flight;
    }
    set_share(share_);
}

void team_quotas::set_share(double share)
{
    share_ = share;
    for (entry& it : teams_) {
        // At least one, because zero stands for no limit and every team must be able to progress.
        const double part = std::ceil(it.total_limit * std::clamp(share, 0.0, 1.0));
        it.limit = it.total_limit == 0 ? 0 : std::max(1U, static_cast<std::uint32_t>(part));
    }
}

} // namespace cactusloom
