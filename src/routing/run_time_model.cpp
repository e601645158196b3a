#include "run_time_model.h"

#include <algorithm>
#include <cmath>

namespace cactusloom {
namespace {

constexpr float min_run_time = 1e-4F;
constexpr float buckets_per_octave = 8;
// Samples after which all histogram counts are halved, so that the histogram follows changes.
constexpr float histogram_window = 4096;
// Window of the running means, in runs. A kind mixes short and long tasks, so a shorter window
// would make the mean fluctuate.
constexpr float mean_window = 1000;
// For kinds that declare no run time: the middle of the usual range of 50 ms to 1 s.
constexpr float default_run_time = 0.2F;

} // namespace

run_time_model::run_time_model(const deployment& settings)
{
    apply(settings);
    for (const kind_state& it : kinds_) {
        mean_ += it.mean / static_cast<float>(kinds_.size());
    }
    mean_ = kinds_.empty() ? default_run_time : mean_;
    observed_mean_ = mean_;
}

void run_time_model::apply(const deployment& settings)
{
    for (std::size_t i = kinds_.size(); i < settings.kinds.size(); ++i) {
        const float seconds =
            static_cast<float>(settings.kinds[i].declared_run_time.count()) * 1e-6F;
        kind_state& added = kinds_.emplace_back();
        added.mean = seconds > 0 ? seconds : default_run_time;
        added.log_mean = std::log(added.mean);
        added.declared = duration{static_cast<std::int64_t>(added.mean * 1e6F)};
    }
}

void run_time_model::learn(std::uint32_t kind, float seconds, float inverse_speed)
{
    seconds = std::max(seconds, min_run_time);
    kind_state& state = kinds_[kind];
    const float normalised = seconds / inverse_speed;
    // The declared run time counts as one run.
    state.runs = std::min(state.runs + 1, mean_window);
    const float gain = 1 / (state.runs + 1);
    state.mean += (normalised - state.mean) * gain;
    state.log_mean += (std::log(normalised) - state.log_mean) * gain;

    runs_ = std::min(runs_ + 1, mean_window);
    mean_ += (normalised - mean_) / (runs_ + 1);
    observed_mean_ += (seconds - observed_mean_) / (runs_ + 1);

    if (state.sample_count >= histogram_window) {
        state.sample_count = 0;
        for (float& count : state.counts) {
            count /= 2;
            state.sample_count += count;
        }
    }
    const float position = std::log2(seconds / min_run_time) * buckets_per_octave;
    const auto bucket = std::min(static_cast<std::size_t>(position), buckets - 1);
    state.counts[bucket] += 1;
    state.sample_count += 1;
}

duration run_time_model::quantile(std::uint32_t kind, double quantile) const
{
    const kind_state& state = kinds_[kind];
    if (state.sample_count < 10) {
        return state.declared;
    }
    const float target = state.sample_count * static_cast<float>(std::clamp(quantile, 0.0, 1.0));
    float cumulative = 0;
    for (std::size_t i = 0; i < buckets; ++i) {
        if (cumulative + state.counts[i] >= target && state.counts[i] > 0) {
            const float part = (target - cumulative) / state.counts[i];
            const float octaves = (static_cast<float>(i) + part) / buckets_per_octave;
            return duration{static_cast<std::int64_t>(min_run_time * std::exp2(octaves) * 1e6F)};
        }
        cumulative += state.counts[i];
    }
    return state.declared;
}

} // namespace cactusloom
