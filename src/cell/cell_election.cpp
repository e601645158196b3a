#include "cell/cell_election.h"

#include "base/hash.h"

#include <algorithm>

namespace cactusloom {

namespace {

// A much weaker instance would be overloaded by the same work.
constexpr double min_relief_cpu_ratio = 0.5;

std::uint64_t claimed_token(const instance_view& view, std::string_view cell)
{
    for (const auto& it : view.claims) {
        if (it.cell == cell) {
            return it.token;
        }
    }
    return 0;
}

// A machine that refuses a connection is reachable, although it runs no process. Links across a
// partition are not dropped all at the same moment; until then their replies are overdue.
bool is_reachable(const instance_view& it, std::string_view self)
{
    return it.name == self || it.connection_refused || (it.alive && !it.reply_overdue);
}

} // namespace

bool cell_election::ranks_before(std::string_view cell, const instance_view& a,
                                 const instance_view& b)
{
    if (a.overloaded != b.overloaded) {
        return b.overloaded;
    }
    const bool a_local = a.data_centre == cell;
    const bool b_local = b.data_centre == cell;
    if (a_local != b_local) {
        return a_local;
    }
    if (a.cpu_share != b.cpu_share) {
        return a.cpu_share > b.cpu_share;
    }
    const auto a_hash = hash64(a.name, hash64(cell));
    const auto b_hash = hash64(b.name, hash64(cell));
    return a_hash != b_hash ? a_hash < b_hash : a.name < b.name;
}

cell_election::decision cell_election::decide(std::string_view cell, std::string_view self,
                                              std::span<const instance_view> views)
{
    decision out;
    const instance_view* holder = nullptr;
    const instance_view* best = nullptr;
    for (const auto& it : views) {
        const auto token = claimed_token(it, cell);
        for (const auto& claim : it.claims) {
            out.highest_token = std::max(out.highest_token, claim.token);
        }
        if (!it.alive || it.leaving) {
            continue;
        }
        if (token != 0 && (holder == nullptr || token > claimed_token(*holder, cell))) {
            holder = &it;
        }
        if (best == nullptr || ranks_before(cell, it, *best)) {
            best = &it;
        }
    }
    const bool should_yield = holder != nullptr && holder->overloaded && !holder->keeps_cells &&
                              best != nullptr && !best->overloaded &&
                              best->cpu_share >= min_relief_cpu_ratio * holder->cpu_share;
    if (holder != nullptr && !should_yield) {
        out.controller = holder->name;
        return out;
    }
    out.should_claim = best != nullptr && best->name == self;
    return out;
}

bool cell_election::is_isolated_data_centre(std::string_view self,
                                            std::span<const instance_view> views)
{
    const auto self_view = std::ranges::find(views, self, &instance_view::name);
    if (self_view == views.end()) {
        return false;
    }
    bool knows_other_data_centres = false;
    for (const auto& it : views) {
        if (it.data_centre != self_view->data_centre) {
            knows_other_data_centres = true;
            if (it.alive) {
                return false;
            }
        }
    }
    const auto alive = std::ranges::count_if(views, &instance_view::alive);
    return knows_other_data_centres && static_cast<std::size_t>(alive) * 2 < views.size();
}

bool cell_election::is_in_minority(std::string_view self, std::span<const instance_view> views)
{
    constexpr std::size_t max_undecidable_views = 2; // a single missing one is more likely down
    std::size_t known = 0;
    std::size_t reached = 0;
    const instance_view* first = nullptr;
    for (const auto& it : views) {
        if (it.linked) {
            ++known;
            reached += is_reachable(it, self) ? 1 : 0;
            first = first == nullptr || it.name < first->name ? &it : first;
        }
    }
    if (known <= max_undecidable_views) {
        return false;
    }
    return reached * 2 < known || (reached * 2 == known && !is_reachable(*first, self));
}

bool cell_election::reaches_own_data_centre(std::string_view self,
                                            std::span<const instance_view> views)
{
    const auto self_view = std::ranges::find(views, self, &instance_view::name);
    std::size_t in_data_centre = 0;
    std::size_t reached = 0;
    for (const auto& it : views) {
        if (self_view != views.end() && it.linked && it.data_centre == self_view->data_centre) {
            ++in_data_centre;
            reached += is_reachable(it, self) ? 1 : 0;
        }
    }
    return reached * 2 > in_data_centre;
}

} // namespace cactusloom
