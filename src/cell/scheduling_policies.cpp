#include "cell/scheduling_policies.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cactusloom {

namespace {

using policy_member = std::pair<std::string_view, bool scheduling_policies::*>;

constexpr std::array<policy_member, 22> policy_members = {{
    {"kind_factors", &scheduling_policies::kind_factors},
    {"run_time_learning", &scheduling_policies::run_time_learning},
    {"worker_speeds", &scheduling_policies::worker_speeds},
    {"worker_slowness", &scheduling_policies::worker_slowness},
    {"suspension", &scheduling_policies::suspension},
    {"stragglers", &scheduling_policies::stragglers},
    {"slow_workers_first", &scheduling_policies::slow_workers_first},
    {"tightest_fit", &scheduling_policies::tightest_fit},
    {"wait_for_faster", &scheduling_policies::wait_for_faster},
    {"bounded_wait", &scheduling_policies::bounded_wait},
    {"order_by_urgency", &scheduling_policies::order_by_urgency},
    {"order_by_loss", &scheduling_policies::order_by_loss},
    {"scaled_objective", &scheduling_policies::scaled_objective},
    {"inflow_wait", &scheduling_policies::inflow_wait},
    {"whole_starts", &scheduling_policies::whole_starts},
    {"late_wait", &scheduling_policies::late_wait},
    {"deep_passes", &scheduling_policies::deep_passes},
    {"refusal_on_arrival", &scheduling_policies::refusal_on_arrival},
    {"refusal_by_forecast", &scheduling_policies::refusal_by_forecast},
    {"overdue_polls", &scheduling_policies::overdue_polls},
    {"recent_outcomes", &scheduling_policies::recent_outcomes},
    {"orphan_adoption", &scheduling_policies::orphan_adoption},
}};

} // namespace

bool scheduling_policies::disable(std::string_view name)
{
    const auto* it = std::ranges::find(policy_members, name, &policy_member::first);
    if (it == policy_members.end()) {
        return false;
    }
    this->*it->second = false;
    return true;
}

} // namespace cactusloom
