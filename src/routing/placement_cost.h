#pragma once

#include "run_time_model.h"
#include "strategy.h"
#include "worker_table.h"

#include <algorithm>

namespace cactusloom {

// Weight of a task's own run time against its wait.
inline constexpr float run_weight = 1.0F;
// Price of a fast slot, in mean run times for a worker of speed 1, when all own slots are taken.
// Without it every task takes the slot where it finishes first and fills the fast workers at the
// cost of later tasks. With it short tasks go to slow workers, where they lose little.
inline constexpr float fast_slot_price = 1.2F;
// Part of the own slots in use from which on fast slots have a price.
inline constexpr float fast_slot_price_threshold = 0.2F;
// Slots of others that must look free, beyond the task's own, before one is borrowed. Reports
// are old, and all instances see the same free slots.
inline constexpr float borrow_margin = 3.0F;
// Tasks by which the margin shrinks for each mean run time of backlog. The worker's queue then
// takes the place of a shared one.
inline constexpr float borrow_growth = 10.0F;
// Tasks by which the true load may differ from the estimate.
inline constexpr float load_uncertainty = 1.0F;
// Doubt about the usual load, per square second without a report.
inline constexpr float staleness_growth = 0.1F;
// Cost of having all of a job in one rack, in mean run times.
inline constexpr float rack_weight = 0.1F;
// Gain a second, over the expected wait for a better slot, from which a task is held back for it.
// High, since tasks behind the held one wait too.
inline constexpr float defer_threshold = 16.0F;
// Mean run times of backlog after which any slot is taken.
inline constexpr float defer_backlog_limit = 0.3F;

// Predicts what it costs to place a task on a worker now, and whether the worker has room.
class placement_cost {
public:
    explicit placement_cost(const placement_input& task)
        : task_(&task), workers_(task.workers), mean_run_(task.run_times->mean()),
          load_decay_rate_(1 / mean_run_), run_cost_(task.run_times->mean(task.kind) * run_weight),
          overcommit_(std::min(borrow_growth * task.blocked_time * load_decay_rate_ - borrow_margin,
                               task.overcommit_limit)),
          fast_slot_price_(fast_slot_price * mean_run_ *
                           std::clamp((task.utilisation - fast_slot_price_threshold) /
                                          (1 - fast_slot_price_threshold),
                                      0.0F, 1.0F)),
          rack_cost_(rack_weight * mean_run_)
    {
    }

    // Tasks of other instances that the worker is expected to hold.
    float peer_load(worker_id worker) const
    {
        const worker_table& table = *workers_;
        const auto age = static_cast<float>(task_->now - table.reported_at[worker]);
        // A worker's load forgets its state within about one run time, so an old report says
        // little beyond the usual load: weight 1 / recency. Without any reply for seconds even
        // the usual load is in doubt: weight 1 / doubt. This also ends a state in which nothing
        // is sent because all workers once looked full.
        const float recency = 1 + age * load_decay_rate_ * table.speed[worker];
        const float staleness = 1 + age * age * staleness_growth;
        const float both = 1 / (recency * staleness);
        return table.default_peer_load[worker] +
               both * (recency * (table.mean_peer_load[worker] - table.default_peer_load[worker]) +
                       (table.peer_load[worker] - table.mean_peer_load[worker]));
    }

    // Number of tasks that may be started on the worker now: what is left of the own slots, or
    // of slots that look free.
    float room(worker_id worker, float peer_load) const
    {
        const worker_table& table = *workers_;
        const float own = table.outstanding[worker];
        const float most = std::min({table.slots[worker] + std::max(overcommit_, 0.0F),
                                     table.slow_start_limit[worker], task_->limits[worker]});
        const float borrowed = table.slots[worker] + overcommit_ - own - peer_load;
        return std::min(std::max(table.own_slots[worker] - own, borrowed), most - own);
    }

    float room(worker_id worker) const { return room(worker, peer_load(worker)); }

    // Cost in seconds of a task that need not wait on the worker.
    float base_cost(worker_id worker) const
    {
        return run_cost_ * workers_->inverse_speed[worker] +
               fast_slot_price_ * workers_->speed[worker] +
               task_->rack_penalty[workers_->rack[worker]] * rack_cost_;
    }

    // Expected seconds that a task waits on the worker.
    float expected_wait(worker_id worker, float peer_load) const
    {
        const worker_table& table = *workers_;
        const float excess = peer_load + table.outstanding[worker] + 1 - table.slots[worker];
        // The load is an estimate, so a wait is possible below full load and may be absent above
        // it: the mean excess when the load lies evenly within load_uncertainty of the estimate.
        const float low = std::clamp(excess + load_uncertainty, 0.0F, 2 * load_uncertainty);
        const float waiting_time =
            low * low / (4 * load_uncertainty) + std::max(excess - load_uncertainty, 0.0F);
        return waiting_time * mean_run_ * table.inverse_slots[worker] * table.inverse_speed[worker];
    }

    // Own tasks that end on the worker in a second.
    float completion_rate(worker_id worker) const
    {
        return workers_->outstanding[worker] * load_decay_rate_ * workers_->speed[worker];
    }

    // True while the backlog is too short to take whatever slot is free.
    bool may_defer() const { return task_->waiting_time * load_decay_rate_ < defer_backlog_limit; }

private:
    const placement_input* task_;
    const worker_table* workers_;
    float mean_run_;
    float load_decay_rate_;
    float run_cost_;
    float overcommit_;
    float fast_slot_price_;
    float rack_cost_;
};

} // namespace cactusloom
