#pragma once

#include "base/timer_service.h"
#include "cell/worker_commands.h"

#include <map>
#include <string>
#include <vector>

namespace cactusloom {

// Workers that may be used, from their entries in the platform's list. Entries also lapse while the
// platform's store is unavailable, and live workers return soon after; a worker without an entry is
// therefore kept for a while, counted only while the list can be read.
class worker_registry {
public:
    explicit worker_registry(const timer_service& timers) : timers_(timers) {}

    // Returns true if something that matters to placement has changed.
    bool put(const worker_report& report);
    bool remove(const std::string& id);

    // Removes workers whose entry has been missing for too long. Call after each successful read;
    // `store_healthy_since` is the time since which every read has succeeded. Returns true if any
    // was removed.
    bool expire(monotonic_time store_healthy_since);

    std::vector<worker_report> list() const;
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    struct entry {
        worker_report report;
        bool missing = false;
        monotonic_time missing_since;
    };

    const timer_service& timers_;
    std::map<std::string, entry> entries_;
};

} // namespace cactusloom
