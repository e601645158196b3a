#include "membership/member_table.h"

#include <algorithm>
#include <utility>

namespace cactusloom {

member_table::member_table(member self) : self_(std::move(self)) {}

std::optional<member_change> member_table::apply(const member& update, monotonic_time now)
{
    if (update.name == self_.name) {
        return std::nullopt;
    }
    const auto it = others_.find(update.name);
    if (it == others_.end()) {
        if (others_.size() >= max_members) {
            return std::nullopt;
        }
        auto& entry = others_[update.name];
        entry.info = update;
        entry.state_changed_at = now;
        return member_change{entry.info, std::nullopt, false};
    }
    auto& entry = it->second;
    if (!supersedes(update, entry.info)) {
        return std::nullopt;
    }
    const auto before = entry.info.state;
    const bool restarted = update.incarnation != entry.info.incarnation;
    if (restarted) {
        entry = member_entry{};
    }
    else if (before != member_state::alive && update.state == member_state::alive) {
        ++entry.flap_count;
        entry.last_flap = now;
    }
    if (update.state == member_state::alive) {
        entry.failed_probes = 0;
    }
    if (before != update.state) {
        entry.state_changed_at = now;
    }
    entry.info = update;
    return member_change{entry.info, before, restarted};
}

member_entry* member_table::find(std::string_view name)
{
    const auto it = others_.find(name);
    return it == others_.end() ? nullptr : &it->second;
}

const member_entry* member_table::find(std::string_view name) const
{
    const auto it = others_.find(name);
    return it == others_.end() ? nullptr : &it->second;
}

const member_entry* member_table::find(std::string_view name, std::uint64_t incarnation) const
{
    const auto* entry = find(name);
    return entry != nullptr && entry->info.incarnation == incarnation ? entry : nullptr;
}

std::vector<const member*> member_table::live_members() const
{
    std::vector<const member*> live;
    live.reserve(others_.size() + 1);
    bool self_placed = false;
    for (const auto& [name, entry] : others_) {
        if (!self_placed && self_.name < name) {
            live.push_back(&self_);
            self_placed = true;
        }
        if (is_live(entry.info.state)) {
            live.push_back(&entry.info);
        }
    }
    if (!self_placed) {
        live.push_back(&self_);
    }
    return live;
}

std::size_t member_table::live_count() const
{
    const auto n = std::count_if(others_.begin(), others_.end(),
                                 [](const auto& it) { return is_live(it.second.info.state); });
    return static_cast<std::size_t>(n) + 1;
}

double member_table::weight_of_others(const std::string* end) const
{
    double total = 0;
    for (const auto& [name, entry] : others_) {
        if (end != nullptr && name >= *end) {
            break;
        }
        total += accepts_work(entry.info) ? entry.info.weight : 0;
    }
    return total;
}

double member_table::capacity_share() const
{
    if (self_.leaving || self_.weight <= 0) {
        return 0;
    }
    return self_.weight / (self_.weight + weight_of_others(nullptr));
}

double member_table::capacity_begin() const
{
    const double total = (self_.leaving ? 0 : self_.weight) + weight_of_others(nullptr);
    return total <= 0 ? 0 : weight_of_others(&self_.name) / total;
}

std::size_t member_table::rank() const
{
    std::size_t n = 0;
    for (const auto& [name, entry] : others_) {
        if (name >= self_.name) {
            break;
        }
        if (is_live(entry.info.state) && !entry.info.leaving &&
            is_reachable(entry.info.data_centre)) {
            ++n;
        }
    }
    return n;
}

bool member_table::is_reachable(std::string_view data_centre) const
{
    return !unreachable_.contains(data_centre);
}

void member_table::set_reachable(std::string_view data_centre, bool reachable)
{
    if (!reachable) {
        unreachable_.emplace(data_centre);
    }
    else if (const auto it = unreachable_.find(data_centre); it != unreachable_.end()) {
        unreachable_.erase(it);
    }
}

} // namespace cactusloom
