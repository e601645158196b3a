#include "cell/cell_election.h"

#include "base/hash.h"

#include <algorithm>

namespace cactusloom {

namespace {

// A much weaker instance would be overloaded by the same work.
constexpr double least_relief_strength = 0.5;

std::uint64_t claim_of(const instance_view& view, std::string_view cell)
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
bool is_reached(const instance_view& it, std::string_view self)
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
    const bool a_home = a.data_centre == cell;
    const bool b_home = b.data_centre == cell;
    if (a_home != b_home) {
        return a_home;
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
        const auto token = claim_of(it, cell);
        for (const auto& claim : it.claims) {
            out.highest_token = std::max(out.highest_token, claim.token);
        }
        if (!it.alive || it.leaving) {
            continue;
        }
        if (token != 0 && (holder == nullptr || token > claim_of(*holder, cell))) {
            holder = &it;
        }
        if (best == nullptr || ranks_before(cell, it, *best)) {
            best = &it;
        }
    }
    const bool relieved = holder != nullptr && holder->overloaded && best != nullptr &&
                          !best->overloaded &&
                          best->cpu_share >= least_relief_strength * holder->cpu_share;
    if (holder != nullptr && !relieved) {
        out.controller = holder->name;
        return out;
    }
    out.should_claim = best != nullptr && best->name == self;
    return out;
}

bool cell_election::is_isolated_data_centre(std::string_view self,
                                            std::span<const instance_view> views)
{
    const auto own = std::ranges::find(views, self, &instance_view::name);
    if (own == views.end()) {
        return false;
    }
    bool knows_others = false;
    for (const auto& it : views) {
        if (it.data_centre != own->data_centre) {
            knows_others = true;
            if (it.alive) {
                return false;
            }
        }
    }
    const auto alive = std::ranges::count_if(views, &instance_view::alive);
    return knows_others && static_cast<std::size_t>(alive) * 2 < views.size();
}

bool cell_election::is_in_minority(std::string_view self, std::span<const instance_view> views)
{
    constexpr std::size_t fewest_others = 2; // a single missing one is more likely down
    std::size_t known = 0;
    std::size_t reached = 0;
    const instance_view* first = nullptr;
    for (const auto& it : views) {
        if (it.linked) {
            ++known;
            reached += is_reached(it, self) ? 1 : 0;
            first = first == nullptr || it.name < first->name ? &it : first;
        }
    }
    if (known <= fewest_others) {
        return false;
    }
    return reached * 2 < known || (reached * 2 == known && !is_reached(*first, self));
}

bool cell_election::reaches_own_data_centre(std::string_view self,
                                            std::span<const instance_view> views)
{
    const auto own = std::ranges::find(views, self, &instance_view::name);
    std::size_t at_home = 0;
    std::size_t reached = 0;
    for (const auto& it : views) {
        if (own != views.end() && it.linked && it.data_centre == own->data_centre) {
            ++at_home;
            reached += is_reached(it, self) ? 1 : 0;
        }
    }
    return reached * 2 > at_home;
}

} // namespace cactusloom
