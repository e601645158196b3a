#pragma once

#include "platform/worker_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace cactusloom {

struct worker_table;
class run_time_model;

// All that a strategy may read when it places one task.
struct placement {
    const worker_table* workers = nullptr;
    const run_time_model* run_times = nullptr;
    std::span<const float> limits{};       // own tasks a worker may hold, by health
    std::span<const std::uint8_t> fits{};  // whether the worker has the kind's features
    std::span<const float> rack_penalty{}; // by rack, 0 to 1
    std::uint32_t kind = 0;
    worker_id excluded = ~worker_id{0};
    float use = 0;        // part of this instance's own slots that are taken
    float backlogged = 0; // seconds for which this instance's queue has not been empty
    double now = 0;       // as worker_table::seconds() counts

    // True if the worker may be given the task at all, apart from its load.
    bool is_allowed(worker_id worker) const;
};

// Chooses a worker that has room, or nothing. Implementations keep no state about workers.
class strategy {
public:
    // Returns null for an unknown name.
    static std::unique_ptr<strategy> make(std::string_view name, std::uint64_t seed);

    strategy() = default;
    strategy(const strategy&) = delete;
    strategy& operator=(const strategy&) = delete;
    virtual ~strategy() = default;

    virtual std::optional<worker_id> choose(const placement& task) = 0;

    // Number of further tasks that this instance may start on the worker now.
    virtual float room(const placement& task, worker_id worker) const = 0;
};

} // namespace cactusloom
