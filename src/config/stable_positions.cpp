#include "config/stable_positions.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace cactusloom {
namespace {

std::string identity(const request_kind& kind)
{
    return kind.name;
}

std::string identity(const worker_settings& worker)
{
    return worker.name + '\n' + worker.address;
}

template<typename Entry>
std::vector<Entry> merge(const std::vector<Entry>& current, std::vector<Entry> next)
{
    std::unordered_map<std::string, std::size_t> positions;
    std::vector<Entry> merged = current;
    for (std::size_t n = 0; n < merged.size(); ++n) {
        merged[n].retired = true;
        positions.emplace(identity(merged[n]), n);
    }
    for (Entry& entry : next) {
        const auto it = positions.find(identity(entry));
        if (it == positions.end()) {
            merged.push_back(std::move(entry));
        }
        else {
            merged[it->second] = std::move(entry);
        }
    }
    return merged;
}

} // namespace

deployment with_stable_positions(const deployment& current, deployment next)
{
    next.kinds = merge(current.kinds, std::move(next.kinds));
    next.workers = merge(current.workers, std::move(next.workers));
    return next;
}

} // namespace cactusloom
