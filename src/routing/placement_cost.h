#pragma once

#include "run_time_model.h"
#include "strategy.h"
#include "worker_table.h"

#include <algorithm>

namespace cactusloom {

// Weight of the run time of a task relative to its wait.
inline constexpr float run_weight = 1.0F;
// Price of a slot on a worker of speed 1 when all own slots are taken, in mean run times. The price
// grows with speed. Without it every task takes the slot where it finishes first, which fills the
// fast workers at the expense of later tasks; with it short tasks go to slow workers, where they
// lose little.
inline constexpr float fast_slot_price = 1.2F;
// Utilisation of the own slots above which fast slots have a price.
inline constexpr float fast_slot_price_threshold = 0.2F;
// Number of further slots that must appear free before a slot outside the own share is borrowed.
// Load reports are old, and all instances see the same free slots.
inline constexpr float borrow_margin = 3.0F;
// Tasks by which borrow_margin shrinks per mean run time of backlog. Below zero, tasks go to the
// queues of the workers instead of waiting in the queue of the instance.
inline constexpr float borrow_growth = 10.0F;
// Error bound of the estimated load of a worker, in tasks.
inline constexpr float load_uncertainty = 1.0F;
// Growth of the staleness of the mean peer load, per square second without a report.
inline constexpr float staleness_growth = 0.1F;
// Cost of placing all tasks of a job in one rack, in mean run times.
inline constexpr float rack_weight = 0.1F;
// Ratio of expected gain to expected wait above which a task is deferred until a better slot is
// free. High, because the tasks queued behind it wait too.
inline constexpr float defer_threshold = 16.0F;
// Waiting time after which no task is deferred any longer, in mean run times.
inline constexpr float defer_backlog_limit = 0.3F;

// Estimates the cost, in seconds, of starting a task on a worker now, and the worker's free room.
class placement_cost {
public:
    explicit placement_cost(const placement_input& input)
        : input_(&input), workers_(input.workers), mean_run_(input.run_times->mean()),
          load_decay_rate_(1 / mean_run_),
          run_cost_(input.run_times->mean(input.kind) * run_weight),
          overcommit_(
              std::min(borrow_growth * input.blocked_time * load_decay_rate_ - borrow_margin,
                       input.overcommit_limit)),
          fast_slot_price_(fast_slot_price * mean_run_ *
                           std::clamp((input.utilisation - fast_slot_price_threshold) /
                                          (1 - fast_slot_price_threshold),
                                      0.0F, 1.0F)),
          rack_cost_(rack_weight * mean_run_)
    {
    }

    // Expected number of tasks of other instances on the worker.
    float peer_load(worker_id worker) const
    {
        const worker_table& table = *workers_;
        const auto age = static_cast<float>(input_->now - table.reported_at[worker]);
        // The load of a worker changes completely within about one run time, so a report is
        // blended into the mean peer load with weight 1 / recency. Without a reply for seconds the
        // mean itself is stale and is blended into the default with weight 1 / staleness, so that
        // workers that once looked full are tried again.
        const float recency = 1 + age * load_decay_rate_ * table.speed[worker];
        const float staleness = 1 + age * age * staleness_growth;
        const float recency_and_staleness = 1 / (recency * staleness);
        return table.default_peer_load[worker] +
               recency_and_staleness *
                   (recency * (table.mean_peer_load[worker] - table.default_peer_load[worker]) +
                    (table.peer_load[worker] - table.mean_peer_load[worker]));
    }

    // Number of tasks that may be started on the worker now: the free own slots or, if more, the
    // slots that appear free and may be borrowed.
    float room(worker_id worker, float peer_load) const
    {
        const worker_table& table = *workers_;
        const float own = table.outstanding[worker];
        const float own_limit = std::min({table.slots[worker] + std::max(overcommit_, 0.0F),
                                          table.slow_start_limit[worker], input_->limits[worker]});
        const float borrowed = table.slots[worker] + overcommit_ - own - peer_load;
        return std::min(std::max(table.own_slots[worker] - own, borrowed), own_limit - own);
    }

    float room(worker_id worker) const { return room(worker, peer_load(worker)); }

    // Cost in seconds of a task that does not wait on the worker.
    float base_cost(worker_id worker) const
    {
        return run_cost_ * workers_->inverse_speed[worker] +
               fast_slot_price_ * workers_->speed[worker] +
               input_->rack_penalty[workers_->rack[worker]] * rack_cost_;
    }

    // Expected wait on the worker in seconds.
    float expected_wait(worker_id worker, float peer_load) const
    {
        const worker_table& table = *workers_;
        const float excess = peer_load + table.outstanding[worker] + 1 - table.slots[worker];
        // The load is only an estimate. This is the mean number of tasks in excess of the slots if
        // the true load is uniformly distributed within load_uncertainty of the estimate.
        const float low = std::clamp(excess + load_uncertainty, 0.0F, 2 * load_uncertainty);
        const float waiting_tasks =
            low * low / (4 * load_uncertainty) + std::max(excess - load_uncertainty, 0.0F);
        return waiting_tasks * mean_run_ * table.inverse_slots[worker] *
               table.inverse_speed[worker];
    }

    // Own tasks completed by the worker per second.
    float completion_rate(worker_id worker) const
    {
        return workers_->outstanding[worker] * load_decay_rate_ * workers_->speed[worker];
    }

    // True while the backlog is short enough to wait for a better slot.
    bool may_defer() const { return input_->waiting_time * load_decay_rate_ < defer_backlog_limit; }

private:
    const placement_input* input_;
    const worker_table* workers_;
    float mean_run_;
    float load_decay_rate_;
    float run_cost_;
    float overcommit_;
    float fast_slot_price_;
    float rack_cost_;
};

} // namespace cactusloom
