#pragma once

#include "workload_trace.h"

#include <limits>

namespace cactusloom::bench {

// Ideal scheduler: one queue with complete, instantaneous knowledge of workers and run times. Each
// task, in order of arrival, takes the slot with the least wait plus a small weight of its run
// time, which prefers faster workers among similar waits. Faults are known the moment they happen.
class ideal_scheduler {
public:
    ideal_scheduler(const scenario& settings, const workload_trace& input, double round_trip)
        : settings_(&settings), trace_(&input), round_trip_(round_trip), speed_(input.speed),
          free_at_(input.speed.size() * slots_per_worker, 0.0), finish_(input.work.size(), 0.0)
    {
    }

    outcome run()
    {
        bool before_fault = true;
        for (const trace_request& request : trace_->requests) {
            if (before_fault && request.at >= trace_->fault_at) {
                before_fault = false;
                inject_fault();
            }
            for (std::uint32_t i = 0; i < request.tasks; ++i) {
                place(request.first_task + i, request.at);
            }
        }
        outcome result;
        for (const trace_request& request : trace_->requests) {
            double last = 0;
            for (std::uint32_t i = 0; i < request.tasks; ++i) {
                last = std::max(last, finish_[request.first_task + i]);
            }
            const bool is_cancelled = request.cancelled && last > trace_->fault_at;
            if (request.at >= settings_->warm_up && !is_cancelled && last < never) {
                result.responses.push_back(last - request.at + round_trip_);
            }
        }
        return result;
    }

private:
    static constexpr double never = 1e18;
    // Weight of the run time relative to the wait when a slot is chosen. With 1 each task takes the
    // slot where it finishes first, which fills the queues of fast workers at the expense of later
    // tasks: at 80 % load the mean is 18 % and p99 14 % higher than with 0.1. With 0 the mean is
    // 1 % lower but p99 31 % higher, since long tasks start on slow workers.
    static constexpr double run_weight = 0.1;

    struct assignment {
        std::uint32_t task;
        std::uint32_t slot;
        double start;
    };

    void place(std::uint32_t task, double now)
    {
        double least = std::numeric_limits<double>::infinity();
        std::size_t best = 0;
        for (std::size_t slot = 0; slot < free_at_.size(); ++slot) {
            const double start = std::max(free_at_[slot], now);
            const double run = trace_->work[task] / speed_[slot / slots_per_worker];
            const double cost = start - now + run_weight * run;
            if (cost < least) {
                least = cost;
                best = slot;
            }
        }
        const double start = std::max(free_at_[best], now);
        const double finish = start + trace_->work[task] / speed_[best / slots_per_worker];
        free_at_[best] = finish;
        finish_[task] = finish;
        if (now < trace_->fault_at) {
            assignments_.push_back({task, static_cast<std::uint32_t>(best), start});
        }
    }

    // Applies the fault and places all tasks again that have not started yet.
    void inject_fault()
    {
        const double now = trace_->fault_at;
        if (settings_->kind == fault::none || settings_->kind == fault::burst ||
            settings_->kind == fault::declared) {
            return;
        }
        const std::size_t dead = settings_->kind == fault::lost_rack        ? workers_per_rack
                                 : settings_->kind == fault::failing_worker ? 1
                                                                            : 0;
        if (settings_->kind == fault::straggler) {
            speed_[0] /= 8;
            speed_[1] /= 8;
        }
        std::vector<bool> cancelled(trace_->work.size());
        for (const trace_request& request : trace_->requests) {
            for (std::uint32_t i = 0; request.cancelled && i < request.tasks; ++i) {
                cancelled[request.first_task + i] = true;
            }
        }
        std::fill(free_at_.begin(), free_at_.end(), now);
        std::vector<std::uint32_t> unstarted;
        for (const assignment& it : assignments_) {
            const bool is_dead = it.slot / slots_per_worker < dead;
            if (finish_[it.task] <= now || cancelled[it.task]) {
                continue;
            }
            if (it.start > now) {
                unstarted.push_back(it.task);
            }
            else if (is_dead) {
                finish_[it.task] = never; // was running when its worker was lost
            }
            else {
                free_at_[it.slot] = finish_[it.task];
            }
        }
        std::fill_n(free_at_.begin(), dead * slots_per_worker, never * 2);
        for (const std::uint32_t task : unstarted) {
            place(task, now);
        }
    }

    const scenario* settings_;
    const workload_trace* trace_;
    double round_trip_;
    std::vector<double> speed_;
    std::vector<double> free_at_;
    std::vector<double> finish_;
    std::vector<assignment> assignments_;
};

} // namespace cactusloom::bench
