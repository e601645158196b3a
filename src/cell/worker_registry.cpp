#include "cell/worker_registry.h"

#include "base/log.h"

#include <algorithm>

namespace cactusloom {

namespace {

// The platform promises that lapsed entries are back about 2 s after its store has returned.
constexpr duration missing_limit = std::chrono::milliseconds{2500};

bool same_for_placement(const worker_report& a, const worker_report& b)
{
    return a.address == b.address && a.service == b.service && a.data_centre == b.data_centre &&
           a.labels == b.labels && a.draining == b.draining && a.started_at_ms == b.started_at_ms &&
           a.capacity.cpu_millis == b.capacity.cpu_millis &&
           a.capacity.memory_mb == b.capacity.memory_mb && a.capacity.gpus == b.capacity.gpus;
}

} // namespace

bool worker_registry::put(const worker_report& report)
{
    const auto [it, added] = entries_.try_emplace(report.id);
    const bool changed = added || !same_for_placement(it->second.report, report);
    it->second.report = report;
    it->second.missing = false;
    return changed;
}

bool worker_registry::remove(const std::string& id)
{
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        return false;
    }
    if (it->second.report.draining) { // it has left after draining
        entries_.erase(it);
        return true;
    }
    if (!it->second.missing) {
        it->second.missing = true;
        it->second.missing_since = timers_.monotonic_now();
        log_event("worker_entry_missing", "worker={}", id);
    }
    return false;
}

bool worker_registry::expire(monotonic_time store_healthy_since)
{
    const auto now = timers_.monotonic_now();
    return std::erase_if(entries_, [&](const auto& row) {
               const auto& it = row.second;
               const bool gone =
                   it.missing &&
                   now - std::max(it.missing_since, store_healthy_since) > missing_limit;
               if (gone) {
                   log_event("worker_gone", "worker={}", row.first);
               }
               return gone;
           }) != 0;
}

std::vector<worker_report> worker_registry::list() const
{
    std::vector<worker_report> out;
    out.reserve(entries_.size());
    for (const auto& [id, it] : entries_) {
        out.push_back(it.report);
    }
    return out;
}

} // namespace cactusloom
