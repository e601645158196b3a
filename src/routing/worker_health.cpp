#include "worker_health.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {
namespace {

constexpr float unlimited = 1e9F;
// Time constant of the decay of outcomes, in seconds. Covers a few tasks of each worker when an
// instance gets one or two replies a second from it.
constexpr double decay_time = 5.0;
// Amount, in addition to three standard errors, by which the failure rate of a worker must exceed
// that of the fleet.
constexpr double outlier_margin = 0.2;
constexpr std::uint32_t min_failures = 3;
// Seconds to the first probe. With nine instances, probes at this interval send about four tasks a
// second to a failing worker; the interval doubles with each failed probe.
constexpr double initial_probe_interval = 2.0;
constexpr double max_probe_interval = 30.0;
constexpr std::uint32_t probation_successes = 3;
// Lower bound of the failure rate of the fleet.
constexpr double min_failure_rate = 0.02;
// Workers of a rack that become unreachable within this many seconds count as one event.
constexpr double rack_window = 2.0;
// If more racks are lost at once, the fault is assumed to be in this instance or fleet-wide.
constexpr std::size_t max_lost_racks = 2;
// Fraction of workers whose last task failed above which the fault is considered fleet-wide and no
// worker is ejected.
constexpr double fleet_fault_fraction = 0.4;

} // namespace

worker_health::worker_health(std::vector<std::uint16_t> rack_of_worker, std::size_t racks,
                             std::uint64_t seed)
    : random_(static_cast<std::uint32_t>(seed ^ (seed >> 32U)) | 4096U)
{
    apply(std::move(rack_of_worker), racks);
}

void worker_health::apply(std::vector<std::uint16_t> rack_of_worker, std::size_t racks)
{
    // A worker may have moved to another rack, so the workers of lost racks start over on
    // probation.
    for (std::size_t rack = 0; rack < racks_.size(); ++rack) {
        if (racks_[rack].lost) {
            restore_rack(rack);
        }
    }
    rack_of_worker_ = std::move(rack_of_worker);
    workers_.resize(rack_of_worker_.size());
    limits_.resize(rack_of_worker_.size(), unlimited);
    recently_failed_.reserve(workers_.size());
    racks_.assign(racks, {});
    for (const std::uint16_t rack : rack_of_worker_) {
        ++racks_[rack].workers;
    }
    update_next_probe();
}

void worker_health::decay_fleet(double now)
{
    const double factor = std::exp((updated_at_ - now) / decay_time);
    failures_ *= factor;
    tasks_ *= factor;
    updated_at_ = now;
}

void worker_health::record(worker_id worker, task_outcome outcome, double now)
{
    decay_fleet(now);
    worker_record& it = workers_[worker];
    const double factor = std::exp((it.updated_at - now) / decay_time);
    it.failures *= factor;
    it.tasks *= factor;
    it.updated_at = now;

    const bool failed = outcome != task_outcome::success;
    it.tasks += 1;
    tasks_ += 1;
    it.failures += failed ? 1 : 0;
    failures_ += failed ? 1 : 0;
    last_failed_ += (failed ? 1U : 0U) - (it.last_failed ? 1U : 0U);
    it.last_failed = failed;
    it.last_unreachable = outcome == task_outcome::unreachable;
    if (!failed) {
        it.consecutive_failures = 0;
        ++it.consecutive_successes;
        if (it.state == health_state::rack_lost) {
            restore_rack(rack_of_worker_[worker]);
        }
        else if (it.state == health_state::ejected) {
            set_state(worker, health_state::probation);
        }
        else if (it.state == health_state::probation &&
                 it.consecutive_successes >= probation_successes) {
            set_state(worker, health_state::healthy);
        }
        update_limit(worker);
        return;
    }
    if (it.last_unreachable) {
        it.unreachable_at = now;
        racks_[rack_of_worker_[worker]].check_pending = true;
    }
    if (std::find(recently_failed_.begin(), recently_failed_.end(), worker) ==
        recently_failed_.end()) {
        recently_failed_.push_back(worker);
    }
    ++it.consecutive_failures;
    it.consecutive_successes = 0;
    // Only a failed probe lengthens the interval, not a task started before the ejection.
    if (it.state == health_state::ejected && it.probe_in_flight) {
        it.probe_interval = std::min(it.probe_interval * 2, max_probe_interval);
        it.probe_at = now + it.probe_interval;
    }
    else if (it.state == health_state::rack_lost && it.probe_in_flight) {
        rack_record& rack = racks_[rack_of_worker_[worker]];
        rack.probe_interval = std::min(rack.probe_interval * 2, max_probe_interval);
        rack.probe_at = now + rack.probe_interval;
    }
    it.probe_in_flight = false;
    update_next_probe();
    update_limit(worker);
    has_new_failures_ = true;
}

void worker_health::update_limit(worker_id worker)
{
    const worker_record& it = workers_[worker];
    switch (it.state) {
    case health_state::ejected:
    case health_state::rack_lost:
        limits_[worker] = 0;
        break;
    case health_state::probation:
        limits_[worker] = 1;
        break;
    case health_state::healthy:
        // A worker that fails tasks immediately always has free slots. One task at a time keeps it
        // from attracting tasks until enough failures are counted.
        limits_[worker] = it.last_failed && !fleet_fault_ ? 1 : unlimited;
        break;
    }
}

void worker_health::set_state(worker_id worker, health_state state)
{
    worker_record& it = workers_[worker];
    ejected_ +=
        (state == health_state::ejected ? 1U : 0U) - (it.state == health_state::ejected ? 1U : 0U);
    if (state == health_state::healthy) {
        it.failures = 0;
        it.tasks = 0;
        it.probe_interval = 0;
    }
    it.state = state;
    it.probe_in_flight = false;
    it.consecutive_successes = 0;
    update_limit(worker);
    update_next_probe();
}

bool worker_health::is_outlier(const worker_record& worker) const
{
    const double other_tasks = std::max(tasks_ - worker.tasks, 0.0);
    const double other_failures = std::max(failures_ - worker.failures, 0.0);
    const auto other_failed_workers =
        static_cast<double>(last_failed_ - (worker.last_failed ? 1 : 0));
    // The fraction of workers whose last task failed reacts sooner than the failure rate of tasks,
    // and a single worker that fails quickly cannot raise it.
    const double fleet =
        std::max({(other_failures + 0.1) / (other_tasks + 10),
                  other_failed_workers /
                      static_cast<double>(std::max<std::size_t>(workers_.size() - 1, 1))});
    const auto is_worse = [fleet](double rate, double tasks) {
        return rate > fleet + outlier_margin + 3 * std::sqrt(fleet * (1 - fleet) / tasks);
    };
    if (worker.consecutive_failures >= min_failures && is_worse(1, worker.consecutive_failures)) {
        return true;
    }
    return worker.failures >= min_failures &&
           is_worse(worker.failures / worker.tasks, worker.tasks);
}

void worker_health::eject(worker_id worker, double now)
{
    worker_record& it = workers_[worker];
    it.probe_interval = it.probe_interval > 0 ? std::min(it.probe_interval * 2, max_probe_interval)
                                              : initial_probe_interval;
    it.probe_at = now + it.probe_interval;
    set_state(worker, health_state::ejected);
}

void worker_health::eject_rack(std::size_t rack, double now)
{
    racks_[rack].lost = true;
    racks_[rack].probe_interval = initial_probe_interval;
    racks_[rack].probe_at = now + initial_probe_interval;
    ++lost_racks_;
    ++rack_events_;
    for (worker_id id = 0; id < workers_.size(); ++id) {
        if (rack_of_worker_[id] == rack) {
            set_state(id, health_state::rack_lost);
        }
    }
}

void worker_health::restore_rack(std::size_t rack)
{
    racks_[rack].lost = false;
    --lost_racks_;
    for (worker_id id = 0; id < workers_.size(); ++id) {
        if (rack_of_worker_[id] == rack) {
            last_failed_ -= workers_[id].last_failed ? 1U : 0U;
            workers_[id].last_failed = false;
            workers_[id].consecutive_failures = 0;
            set_state(id, health_state::probation);
        }
    }
}

void worker_health::evaluate_changes(double now)
{
    has_new_failures_ = false;
    const auto n = static_cast<double>(workers_.size());
    const bool fleet_fault =
        workers_.size() > 2 && static_cast<double>(last_failed_) > fleet_fault_fraction * n;
    if (fleet_fault != fleet_fault_) {
        fleet_fault_ = fleet_fault;
        for (worker_id id = 0; id < workers_.size(); ++id) {
            update_limit(id);
        }
    }
    for (std::size_t rack = 0; rack < racks_.size(); ++rack) {
        if (!racks_[rack].check_pending) {
            continue;
        }
        racks_[rack].check_pending = false;
        std::size_t lost_inside = 0;
        std::size_t lost_outside = 0;
        for (worker_id id = 0; id < workers_.size(); ++id) {
            const worker_record& it = workers_[id];
            const bool lost = it.last_unreachable && now - it.unreachable_at <= rack_window;
            const bool already_lost = racks_[rack_of_worker_[id]].lost;
            lost_inside += lost && rack_of_worker_[id] == rack ? 1U : 0U;
            lost_outside += lost && !already_lost && rack_of_worker_[id] != rack ? 1U : 0U;
        }
        const auto size = static_cast<double>(racks_[rack].workers);
        const double fleet = std::max({static_cast<double>(lost_outside) / std::max(n - size, 1.0),
                                       failures_ / std::max(tasks_, 1.0), min_failure_rate});
        // Unreachable workers all over the fleet may by chance include half of a rack; four
        // standard errors keep that from being taken for a lost rack.
        const double threshold = fleet + 4 * std::sqrt(fleet * (1 - fleet) / size);
        const auto lost = static_cast<double>(lost_inside);
        if (!racks_[rack].lost && lost_inside >= 2 && lost * 2 >= size && lost / size > threshold) {
            eject_rack(rack, now);
        }
    }
    if (fleet_fault_ || lost_racks_ > max_lost_racks) {
        for (std::size_t rack = 0; rack < racks_.size(); ++rack) {
            if (racks_[rack].lost) {
                restore_rack(rack);
            }
        }
    }
    for (const worker_id id : recently_failed_) {
        const bool may_eject = workers_[id].state == health_state::healthy ||
                               workers_[id].state == health_state::probation;
        if (may_eject && (ejected_ + 1) * 10 <= workers_.size() && is_outlier(workers_[id])) {
            eject(id, now);
        }
    }
    recently_failed_.clear();
    if (fleet_fault_ && ejected_ > 0) {
        // In a fleet-wide fault the ejected workers are no worse than the rest.
        for (worker_id id = 0; id < workers_.size(); ++id) {
            if (workers_[id].state == health_state::ejected) {
                set_state(id, health_state::healthy);
            }
        }
    }
}

void worker_health::update_next_probe()
{
    next_probe_ = std::numeric_limits<double>::infinity();
    for (const worker_record& it : workers_) {
        if (it.state == health_state::ejected) {
            next_probe_ = std::min(next_probe_, it.probe_at);
        }
    }
    for (const rack_record& it : racks_) {
        if (it.lost) {
            next_probe_ = std::min(next_probe_, it.probe_at);
        }
    }
}

} // namespace cactusloom
