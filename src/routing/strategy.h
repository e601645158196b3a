#pragma once

#include "worker_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace cactusloom {

class run_time_model;

// Input of one placement decision.
struct placement_input {
    const worker_table* workers = nullptr;
    const run_time_model* run_times = nullptr;
    std::span<const float> limits{};          // own tasks allowed on each worker, by its health
    std::span<const std::uint8_t> eligible{}; // whether each worker has the kind's features
    std::span<const float> rack_penalty{};    // by rack, 0 to 1
    std::uint32_t kind = 0;
    worker_id excluded = ~worker_id{0};
    float utilisation = 0;      // own outstanding tasks over own slots
    float blocked_time = 0;     // seconds since picks began to find no room
    float waiting_time = 0;     // seconds since picks began to return no worker for any reason
    float overcommit_limit = 0; // tasks that a worker may be given in excess of its slots
    double now = 0;             // in the time of worker_table::seconds()

    // True if the worker may be given the task, regardless of its load.
    bool is_allowed(worker_id worker) const
    {
        return eligible[worker] != 0 && workers->leaving[worker] == 0 && worker != excluded &&
               now >= workers->busy_until[worker];
    }
};

// The chosen worker, or the reason why there is none.
struct choice {
    std::optional<worker_id> worker{};
    bool deferred = false; // there is room, but waiting for a better worker is cheaper
};

// Chooses a worker that has room for a task. Implementations keep no state about workers.
class strategy {
public:
    // Returns null for an unknown name.
    static std::unique_ptr<strategy> make(std::string_view name, std::uint64_t seed);

    strategy() = default;
    strategy(const strategy&) = delete;
    strategy& operator=(const strategy&) = delete;
    virtual ~strategy() = default;

    virtual choice choose(const placement_input& input) = 0;

    // Number of tasks that this instance may start on the worker now.
    virtual float room(const placement_input& input, worker_id worker) const = 0;
};

} // namespace cactusloom
