#include "worker_table.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {
namespace {

// Weight of a new report in the long-term mean of the peer load.
constexpr float peer_load_gain = 0.1F;
// Window of the slow mean of a speed, in runs. Run times of one kind vary by a factor of about two,
// so the mean of 100 is accurate to about 6 %.
constexpr float speed_window = 100;
constexpr float fast_gain = 0.125F;
// Difference of ln speed that is taken for a change: three standard errors of the fast mean.
constexpr float speed_change_threshold = 0.7F;
// Weight of the fleet's mean speed in the first estimates, in runs.
constexpr float prior_weight = 3;
// Own tasks that a worker may be given before its first reply.
constexpr float initial_slow_start_limit = 2;

} // namespace

worker_table::worker_table(const deployment& settings, double share_begin, double share)
    : share_begin_(share_begin), share_(share)
{
    apply(settings);
}

void worker_table::apply(const deployment& settings)
{
    const std::size_t known = size();
    const std::size_t n = std::max(known, settings.workers.size());
    for (auto* values : {&slots, &inverse_slots, &outstanding, &peer_load, &mean_peer_load,
                         &default_peer_load, &own_slots}) {
        values->resize(n, 0);
    }
    reported_at.resize(n, 0);
    busy_until.resize(n, 0);
    speed.resize(n, 1);
    inverse_speed.resize(n, 1);
    slow_start_limit.resize(n, initial_slow_start_limit);
    rack.resize(n, 0);
    leaving.resize(n, 0);
    offsets_.resize(n, 0);
    speeds_.resize(n);
    float all_slots = 0;
    for (std::size_t i = 0; i < settings.workers.size(); ++i) {
        const worker_settings& worker = settings.workers[i];
        slots[i] = worker.retired ? 0 : static_cast<float>(worker.slots);
        inverse_slots[i] = 1 / std::max(slots[i], 1.0F);
        all_slots += slots[i];
        const auto number = static_cast<std::uint16_t>(rack_numbers_.size());
        rack[i] = rack_numbers_.emplace(worker.rack, number).first->second;
        offsets_[i] = static_cast<double>(hash64(worker.name) >> 11U) * 0x1p-53;
    }
    racks = rack_numbers_.size();
    rack_slot_share.assign(racks, 0);
    for (std::size_t i = 0; i < n; ++i) {
        rack_slot_share[rack[i]] += slots[i] / std::max(all_slots, 1.0F);
    }
    set_share(share_begin_, share_);
    for (std::size_t i = known; i < n; ++i) {
        peer_load[i] = default_peer_load[i];
        mean_peer_load[i] = default_peer_load[i];
    }
}

void worker_table::set_share(double begin, double share)
{
    share_begin_ = begin;
    share_ = share;
    const double fraction = std::clamp(share, 0.001, 1.0);
    total_own_slots = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        // Each instance owns an interval of the range from 0 to the number of slots. The offset
        // differs between workers, so that a share of less than one slot yields one on some of
        // them.
        const double first = begin * static_cast<double>(slots[i]) + offsets_[i];
        const double last = first + fraction * static_cast<double>(slots[i]);
        own_slots[i] = static_cast<float>(std::floor(last) - std::floor(first));
        total_own_slots += own_slots[i];
        default_peer_load[i] = slots[i] * static_cast<float>(1 - fraction);
    }
    total_own_slots = std::max(total_own_slots, 1.0);
}

double worker_table::seconds(monotonic_time now) const
{
    return static_cast<double>((now - origin_).count()) * 1e-6;
}

void worker_table::record_report(worker_id worker, const worker_load& load, monotonic_time now)
{
    const float total = static_cast<float>(load.running) + static_cast<float>(load.queued);
    if (total < outstanding[worker]) {
        // The report is older than some own starts, so it says nothing about the other instances.
        return;
    }
    peer_load[worker] = total - outstanding[worker];
    mean_peer_load[worker] += (peer_load[worker] - mean_peer_load[worker]) * peer_load_gain;
    reported_at[worker] = seconds(now);
}

void worker_table::record_refusal(worker_id worker, monotonic_time now, float pause)
{
    peer_load[worker] = std::max(peer_load[worker], slots[worker]);
    reported_at[worker] = seconds(now);
    busy_until[worker] = seconds(now) + pause;
}

void worker_table::learn_speed(worker_id worker, float log_ratio)
{
    speed_state& state = speeds_[worker];
    state.runs = std::min(state.runs + 1, speed_window);
    state.slow_mean += (log_ratio - state.slow_mean) / (state.runs + prior_weight);
    state.fast_mean += (log_ratio - state.fast_mean) * fast_gain;
    if (state.runs >= 16 && std::abs(state.fast_mean - state.slow_mean) > speed_change_threshold) {
        state.slow_mean = state.fast_mean;
        state.runs = 4;
    }
    speed[worker] = std::exp(state.slow_mean);
    inverse_speed[worker] = 1 / speed[worker];
}

} // namespace cactusloom
