#include "cell_choice.h"

#include "base/hash.h"

#include <tuple>

namespace cactusloom {

chosen_cell choose_cell(std::span<const instance_view> holders, const cell_constraints& constraints)
{
    const auto rank = [&constraints](const cell_claim& it) {
        return std::tuple(it.cell == constraints.home, hash64(it.cell, hash64(constraints.job_id)),
                          it.token);
    };
    chosen_cell best;
    for (const auto& view : holders) {
        for (const auto& it : view.claims) {
            if (constraints.refused_by.contains(it.cell) ||
                (!constraints.required_cell.empty() &&
                 !cell_election::covers(it.cell, constraints.required_cell))) {
                continue;
            }
            if (best.claim == nullptr || rank(it) > rank(*best.claim)) {
                best = {&view, &it};
            }
        }
    }
    return best;
}

} // namespace cactusloom
