#pragma once

#include "run_time_model.h"
#include "strategy.h"
#include "worker_table.h"

#include <algorithm>

namespace cactusloom {

// Predicts when a task placed now would finish on a worker, and whether the worker has room.
class finish_estimate {
public:
    explicit finish_estimate(const placement& task)
        : task_(&task), workers_(task.workers), mean_run_(task.run_times->mean()),
          forgetting_(1 / mean_run_), run_(task.run_times->mean(task.kind)),
          spread_cost_(rack_weight * task.run_times->mean())
    {
    }

    // Tasks of all instances that the worker is expected to hold, besides our own.
    float others(worker_id worker) const
    {
        const worker_table& table = *workers_;
        const auto age = static_cast<float>(task_->now - table.reported_at[worker]);
        // A worker's load forgets its state within about one run time, so an old report says
        // little beyond the usual load: weight 1 / recency. Without any reply for seconds even
        // the usual load is in doubt: weight 1 / doubt. This also ends a state in which nothing
        // is sent because all workers once looked full.
        const float recency = 1 + age * forgetting_ / table.inverse_speed[worker];
        const float doubt = 1 + age * age * 0.1F;
        const float both = 1 / (recency * doubt);
        return table.assumed[worker] +
               both * (recency * (table.usual[worker] - table.assumed[worker]) +
                       (table.others[worker] - table.usual[worker]));
    }

    float room(worker_id worker) const { return room(worker, others(worker)); }

    float room(worker_id worker, float others) const
    {
        const worker_table& table = *workers_;
        const float own = table.outstanding[worker];
        const float most = std::min(
            {table.slots[worker] + overcommit, table.cold_limit[worker], task_->limits[worker]});
        const float by_report = table.slots[worker] + overcommit - own - others;
        return std::min(std::max(table.quota[worker] - own, by_report), most - own);
    }

    // Seconds until the task would finish.
    float finish(worker_id worker, float others) const
    {
        const worker_table& table = *workers_;
        const float inverse_speed = table.inverse_speed[worker];
        const float excess = others + table.outstanding[worker] + 1 - table.slots[worker];
        // The load is an estimate, so a wait is possible below full load and may be absent above
        // it: the expected excess of a spread of +-2 tasks around the estimate.
        const float low = std::clamp(excess + 2, 0.0F, 4.0F);
        const float waiting = low * low * 0.125F + std::max(excess - 2, 0.0F);
        const float wait = waiting * mean_run_ * table.inverse_slots[worker];
        return (wait + run_) * inverse_speed +
               task_->rack_penalty[table.rack[worker]] * spread_cost_;
    }

private:
    // Tasks beyond its slots that a worker may hold, so that it has work while our next start is
    // under way. One task waits an eighth of a run time on a worker with eight slots.
    static constexpr float overcommit = 1.0F;
    // Cost of having all of a job in one rack, in mean run times.
    static constexpr float rack_weight = 0.1F;

    const placement* task_;
    const worker_table* workers_;
    float mean_run_;
    float forgetting_;
    float run_;
    float spread_cost_;
};

} // namespace cactusloom
