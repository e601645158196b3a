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
inline constexpr float speed_price = 1.2F;
// Part of the own slots in use from which on fast slots have a price.
inline constexpr float price_from = 0.2F;
// Slots of others that must look free, beyond the task's own, before one is borrowed. Reports
// are old, and all instances see the same free slots.
inline constexpr float borrow_margin = 3.0F;
// Tasks by which the margin shrinks for each mean run time of backlog. The worker's queue then
// takes the place of a shared one.
inline constexpr float borrow_growth = 10.0F;
// Tasks by which the true load may differ from the estimate.
inline constexpr float load_spread = 1.0F;
// Doubt about the usual load, per square second without a report.
inline constexpr float doubt_growth = 0.1F;
// Cost of having all of a job in one rack, in mean run times.
inline constexpr float rack_weight = 0.1F;
// Gain a second, over the expected wait for a better slot, from which a task is held back for it.
// High, since tasks behind the held one wait too.
inline constexpr float hold_weight = 16.0F;
// Mean run times of backlog after which any slot is taken.
inline constexpr float hold_limit = 0.3F;

// Predicts what it costs to place a task on a worker now, and whether the worker has room.
class finish_estimate {
public:
    explicit finish_estimate(const placement& task)
        : task_(&task), workers_(task.workers), mean_run_(task.run_times->mean()),
          forgetting_(1 / mean_run_), run_cost_(task.run_times->mean(task.kind) * run_weight),
          beyond_(std::min(borrow_growth * task.backlogged * forgetting_ - borrow_margin,
                           task.most_beyond)),
          price_(speed_price * mean_run_ *
                 std::clamp((task.use - price_from) / (1 - price_from), 0.0F, 1.0F)),
          spread_cost_(rack_weight * mean_run_)
    {
    }

    // Tasks of other instances that the worker is expected to hold.
    float others(worker_id worker) const
    {
        const worker_table& table = *workers_;
        const auto age = static_cast<float>(task_->now - table.reported_at[worker]);
        // A worker's load forgets its state within about one run time, so an old report says
        // little beyond the usual load: weight 1 / recency. Without any reply for seconds even
        // the usual load is in doubt: weight 1 / doubt. This also ends a state in which nothing
        // is sent because all workers once looked full.
        const float recency = 1 + age * forgetting_ * table.speed[worker];
        const float doubt = 1 + age * age * doubt_growth;
        const float both = 1 / (recency * doubt);
        return table.assumed[worker] +
               both * (recency * (table.usual[worker] - table.assumed[worker]) +
                       (table.others[worker] - table.usual[worker]));
    }

    // Number of tasks that may be started on the worker now: what is left of the own slots, or
    // of slots that look free.
    float room(worker_id worker, float others) const
    {
        const worker_table& table = *workers_;
        const float own = table.outstanding[worker];
        const float most = std::min({table.slots[worker] + std::max(beyond_, 0.0F),
                                     table.cold_limit[worker], task_->limits[worker]});
        const float borrowed = table.slots[worker] + beyond_ - own - others;
        return std::min(std::max(table.quota[worker] - own, borrowed), most - own);
    }

    float room(worker_id worker) const { return room(worker, others(worker)); }

    // Cost in seconds of a task that need not wait on the worker.
    float base_cost(worker_id worker) const
    {
        return run_cost_ * workers_->inverse_speed[worker] + price_ * workers_->speed[worker] +
               task_->rack_penalty[workers_->rack[worker]] * spread_cost_;
    }

    // Expected seconds that a task waits on the worker.
    float wait(worker_id worker, float others) const
    {
        const worker_table& table = *workers_;
        const float excess = others + table.outstanding[worker] + 1 - table.slots[worker];
        // The load is an estimate, so a wait is possible below full load and may be absent above
        // it: the mean excess when the load lies evenly within load_spread of the estimate.
        const float low = std::clamp(excess + load_spread, 0.0F, 2 * load_spread);
        const float waiting = low * low / (4 * load_spread) + std::max(excess - load_spread, 0.0F);
        return waiting * mean_run_ * table.inverse_slots[worker] * table.inverse_speed[worker];
    }

    // Own tasks that end on the worker in a second.
    float end_rate(worker_id worker) const
    {
        return workers_->outstanding[worker] * forgetting_ * workers_->speed[worker];
    }

    // True while the backlog is too short to take whatever slot is free.
    bool may_hold() const { return task_->waiting * forgetting_ < hold_limit; }

private:
    const placement* task_;
    const worker_table* workers_;
    float mean_run_;
    float forgetting_;
    float run_cost_;
    float beyond_;
    float price_;
    float spread_cost_;
};

} // namespace cactusloom
