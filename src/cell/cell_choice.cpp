#include "cell_choice.h"

#include "base/hash.h"

#include <tuple>

namespace cactusloom {

chosen_cell choose_cell(std::span<const instance_view> holders, const cell_wish& wish)
{
    const auto rank = [&wish](const cell_claim& it) {
        return std::tuple(it.cell == wish.home, hash64(it.cell, hash64(wish.job_id)), it.token);
    };
    chosen_cell best;
    for (const auto& view : holders) {
        for (const auto& it : view.claims) {
            if (wish.refused_by.contains(it.cell) ||
                (!wish.bound_to.empty() && !cell_election::covers(it.cell, wish.bound_to))) {
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
