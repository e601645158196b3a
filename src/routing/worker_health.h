#pragma once

#include "base/random.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace cactusloom {

enum class task_outcome : std::uint8_t { success, failure, unreachable };

// Outlier detection over the workers. A worker that fails much more often than the fleet is ejected
// and returns through probation, with one task at a time; a rack whose workers become unreachable
// together is ejected as a whole. At most a tenth of the workers are ejected, not counting lost
// racks. Times are seconds on any monotonic clock.
class worker_health {
public:
    worker_health(std::vector<std::uint16_t> rack_of_worker, std::size_t racks, std::uint64_t seed);

    // Applies the racks of a new configuration. Known workers keep their state.
    void apply(std::vector<std::uint16_t> rack_of_worker, std::size_t racks);

    void record(worker_id worker, task_outcome outcome, double now);

    // Evaluates the outcomes recorded since the last call. Must be called before limits(). Outcomes
    // that arrive together are thus evaluated together, so that a fleet-wide fault is recognised.
    void evaluate(double now)
    {
        if (has_new_failures_) {
            evaluate_changes(now);
        }
    }

    // Own tasks allowed on each worker: 0 while ejected, 1 on probation or after a failure, else
    // unlimited.
    const std::vector<float>& limits() const { return limits_; }

    bool is_probe_due(double now) const { return now >= next_probe_; }

    // Returns a worker that is due for a probe with a single task, or nothing if none is.
    // `eligible` tells whether a worker can take the task at hand.
    template<typename Eligible>
    std::optional<worker_id> begin_probe(double now, const Eligible& eligible);

    std::size_t ejected() const { return ejected_; }
    std::size_t lost_racks() const { return lost_racks_; }
    std::uint64_t rack_events() const { return rack_events_; }

private:
    enum class health_state : std::uint8_t { healthy, ejected, rack_lost, probation };

    struct worker_record {
        health_state state = health_state::healthy;
        bool last_failed = false;
        bool last_unreachable = false;
        bool probe_in_flight = false;
        std::uint32_t consecutive_failures = 0;
        std::uint32_t consecutive_successes = 0;
        double failures = 0; // decayed
        double tasks = 0;    // decayed
        double updated_at = 0;
        double unreachable_at = 0;
        double probe_at = 0;
        double probe_interval = 0;
    };

    struct rack_record {
        std::uint32_t workers = 0;
        bool lost = false;
        bool check_pending = false;
        double probe_at = 0;
        double probe_interval = 0;
    };

    void evaluate_changes(double now);
    bool is_outlier(const worker_record& worker) const;
    void eject(worker_id worker, double now);
    void eject_rack(std::size_t rack, double now);
    void restore_rack(std::size_t rack);
    void set_state(worker_id worker, health_state state);
    void update_limit(worker_id worker);
    void update_next_probe();
    void decay_fleet(double now);

    std::vector<std::uint16_t> rack_of_worker_;
    std::vector<worker_record> workers_;
    std::vector<rack_record> racks_;
    std::vector<float> limits_;
    std::vector<worker_id> recently_failed_; // workers that failed since the last evaluation
    random_engine random_;
    double failures_ = 0; // decayed, over all workers
    double tasks_ = 0;
    double updated_at_ = 0;
    double next_probe_ = std::numeric_limits<double>::infinity();
    std::size_t last_failed_ = 0;
    std::size_t ejected_ = 0;
    std::size_t lost_racks_ = 0;
    std::uint64_t rack_events_ = 0;
    bool fleet_fault_ = false;
    bool has_new_failures_ = false;
};

template<typename Eligible>
std::optional<worker_id> worker_health::begin_probe(double now, const Eligible& eligible)
{
    const auto n = static_cast<std::uint32_t>(workers_.size());
    const std::uint32_t first = draw_below(random_, n);
    for (std::uint32_t i = 0; i < n; ++i) {
        const worker_id id = first + i < n ? first + i : first + i - n;
        worker_record& worker = workers_[id];
        rack_record& rack = racks_[rack_of_worker_[id]];
        const bool rack_due = worker.state == health_state::rack_lost && rack.probe_at <= now;
        const bool worker_due = worker.state == health_state::ejected && worker.probe_at <= now;
        if (!(rack_due || worker_due) || !eligible(id)) {
            continue;
        }
        // The next probe is due after a full interval even if this one gets no reply.
        (rack_due ? rack.probe_at : worker.probe_at) =
            now + (rack_due ? rack.probe_interval : worker.probe_interval);
        worker.probe_in_flight = true;
        update_next_probe();
        return id;
    }
    return std::nullopt;
}

} // namespace cactusloom
