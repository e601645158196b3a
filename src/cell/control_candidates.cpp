#include "cell/control_candidates.h"

#include <algorithm>
#include <map>
#include <vector>

namespace cactusloom {

namespace {

// Up to this size, the links of a full mesh cost each instance less than 9 KB/s.
constexpr std::size_t max_full_mesh_size = 12;
constexpr std::size_t live_candidates_per_data_centre = 3;

} // namespace

std::set<std::string, std::less<>> control_candidates(std::span<const instance_view> instances)
{
    std::set<std::string, std::less<>> out;
    std::map<std::string_view, std::vector<const instance_view*>> by_data_centre;
    for (const auto& it : instances) {
        if (instances.size() <= max_full_mesh_size || (it.alive && !it.claims.empty())) {
            out.insert(it.name);
        }
        by_data_centre[it.data_centre].push_back(&it);
    }
    if (instances.size() <= max_full_mesh_size) {
        return out;
    }
    for (auto& row : by_data_centre) {
        auto& members = row.second;
        std::ranges::sort(members, [&row](const auto* a, const auto* b) {
            return cell_election::ranks_before(row.first, *a, *b);
        });
        // Each lost candidate adds one more, so that the number doubles until a survivor is found.
        std::size_t live = 0;
        std::size_t lost = 0;
        for (const auto* it : members) {
            if (live == live_candidates_per_data_centre + lost) {
                break;
            }
            out.insert(it->name);
            ++(it->alive ? live : lost);
        }
    }
    return out;
}

} // namespace cactusloom
