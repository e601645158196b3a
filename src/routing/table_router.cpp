#include "table_router.h"

#include "finish_estimate.h"

#include "base/clock.h"
#include "base/random.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cactusloom {
namespace {

// Pause after a refusal, in mean run times. A full worker with eight slots frees one within an
// eighth of a run time and then has its own queue to serve; asking again sooner costs two
// messages each time.
constexpr float refusal_pause = 0.5F;

// Part of the profile's message budget that refusals may take; a refusal costs two messages.
// The rest is for lease renewals and hedges.
constexpr float refusal_part = 0.8F;
// Bounds of the number of tasks that a worker may be given beyond its slots, and the step by
// which a refusal lowers it.
constexpr float first_beyond = 2.0F;
// With a lower bound an instance with a backlog is held to its own slots for good: with reports 2 s
// old, p99 of lough_tapioca at 95 % load was then 22 times the ideal's.
constexpr float least_beyond = 0.0F;
constexpr float largest_beyond = 8.0F;
constexpr float beyond_step = 0.25F;

// Seconds without a pick that found no room after which the queue is taken to be empty. Longer
// than the usual time between two ends of own tasks, after which the queue is looked at again.
constexpr double backlog_gap = 0.05;

std::vector<std::uint8_t> workers_that_fit(const deployment& settings, const request_kind& kind)
{
    std::vector<std::uint8_t> fits;
    for (const worker_settings& worker : settings.workers) {
        const auto has = [&](const std::string& feature) {
            return std::find(worker.features.begin(), worker.features.end(), feature) !=
                   worker.features.end();
        };
        const bool all = std::all_of(kind.needs.begin(), kind.needs.end(), has);
        fits.push_back(all && worker.slots > 0 && !worker.retired ? 1 : 0);
    }
    return fits;
}

// Without a known place among the instances a random one is as good as any.
double first_share(const router_options& options)
{
    random_engine random(static_cast<std::uint32_t>(options.seed) | 4096U);
    const double drawn = draw_below(random, 1U << 20U) * 0x1p-20;
    return options.share_begin >= 0 ? options.share_begin : drawn;
}

task_outcome outcome_of(start_status status)
{
    switch (status) {
    case start_status::task_failed:
    case start_status::lease_lapsed:
        return task_outcome::failure;
    case start_status::reply_lost:
    case start_status::not_sent:
        return task_outcome::loss;
    default:
        return task_outcome::success;
    }
}

} // namespace

std::unique_ptr<router> router::make(const deployment& settings, const clock& time,
                                     router_options options)
{
    auto chooser = strategy::make(settings.profile.routing, options.seed);
    if (!chooser) {
        return nullptr;
    }
    return std::make_unique<table_router>(settings, time, options, std::move(chooser));
}

table_router::table_router(const deployment& settings, const clock& time, router_options options,
                           std::unique_ptr<strategy> chooser)
    : time_(&time), share_begin_(first_share(options)),
      workers_(settings, share_begin_, options.share), run_times_(settings),
      health_(workers_.rack, workers_.racks, options.seed), spread_(workers_.rack_slots),
      most_beyond_(first_beyond), strategy_(std::move(chooser)), seed_(options.seed),
      strategy_name_(settings.profile.routing)
{
    take_document(settings);
}

void table_router::apply(const deployment& settings)
{
    workers_.apply(settings);
    run_times_.apply(settings);
    health_.apply(workers_.rack, workers_.racks);
    spread_ = job_spread(workers_.rack_slots);
    if (settings.profile.routing != strategy_name_) {
        // Validation refuses unknown names; should one get here, the old strategy stays.
        if (auto next = strategy::make(settings.profile.routing, seed_)) {
            strategy_ = std::move(next);
            strategy_name_ = settings.profile.routing;
        }
    }
    take_document(settings);
}

void table_router::take_document(const deployment& settings)
{
    refusals_allowed_ =
        static_cast<float>(std::max(settings.profile.message_budget - 2, 0.0) / 2) * refusal_part;
    fits_.clear();
    retired_kinds_.clear();
    for (const request_kind& kind : settings.kinds) {
        fits_.push_back(workers_that_fit(settings, kind));
        retired_kinds_.push_back(kind.retired ? 1 : 0);
    }
    no_penalty_.assign(workers_.racks, 0);
}

placement table_router::make_placement(const routing_query& query, double now) const
{
    return placement{.workers = &workers_,
                     .run_times = &run_times_,
                     .limits = health_.limits(),
                     .fits = fits_[query.kind],
                     .rack_penalty = no_penalty_,
                     .kind = query.kind,
                     .excluded = query.excluded.value_or(~worker_id{0}),
                     .most_beyond = most_beyond_,
                     .now = now};
}

std::optional<worker_id> table_router::pick(const routing_query& query)
{
    if (workers_.size() == 0) {
        return std::nullopt;
    }
    const double now = workers_.seconds(time_->monotonic_now());
    health_.judge(now);
    placement task = make_placement(query, now);
    if (health_.is_probe_due(now)) {
        const auto probe = health_.take_probe(now, [&](worker_id id) {
            return task.is_allowed(id) && workers_.outstanding[id] < workers_.slots[id];
        });
        if (probe) {
            return probe;
        }
    }
    task.rack_penalty = spread_.penalties(query.job_key);
    if (now - blocked_at_ > backlog_gap) {
        blocked_since_ = now;
    }
    task.use = static_cast<float>(workers_.total_outstanding / workers_.total_quota);
    task.backlogged = static_cast<float>(now - blocked_since_);
    if (now - waited_at_ > backlog_gap) {
        waited_since_ = now;
    }
    task.waiting = static_cast<float>(now - waited_since_);
    const choice chosen = strategy_->choose(task);
    if (chosen.worker) {
        spread_.add(query.job_key, workers_.rack[*chosen.worker]);
    }
    else {
        waited_at_ = now;
        blocked_at_ = chosen.held ? blocked_at_ : now;
    }
    return chosen.worker;
}

bool table_router::can_ever_run(kind_index kind) const
{
    return kind < fits_.size() && retired_kinds_[kind] == 0 &&
           std::find(fits_[kind].begin(), fits_[kind].end(), 1) != fits_[kind].end();
}

void table_router::record_start(worker_id worker, kind_index /*kind*/)
{
    workers_.outstanding[worker] += 1;
    workers_.total_outstanding += 1;
}

void table_router::record_end(worker_id worker, kind_index kind, const start_reply& reply,
                              duration elapsed)
{
    assert(workers_.outstanding[worker] > 0);
    workers_.outstanding[worker] -= 1;
    workers_.total_outstanding -= 1;
    const monotonic_time now = time_->monotonic_now();
    if (reply.has_load) {
        workers_.take_report(worker, reply.load, now);
        workers_.leaving[worker] = reply.load.leaving ? 1 : workers_.leaving[worker];
    }
    switch (reply.status) {
    case start_status::refused_busy:
        workers_.take_refusal(worker, now, run_times_.observed_mean() * refusal_pause);
        adapt_to_refusal(true);
        return; // says nothing about health: the worker is only full
    case start_status::refused_leaving:
        workers_.leaving[worker] = 1;
        return;
    case start_status::stopped:
        return; // ended at our request
    case start_status::completed:
        adapt_to_refusal(false);
        workers_.cold_limit[worker] += 2;
        learn_run(worker, kind, reply.run_time > duration::zero() ? reply.run_time : elapsed);
        break;
    default:
        break;
    }
    health_.record(worker, outcome_of(reply.status), workers_.seconds(now));
}

void table_router::adapt_to_refusal(bool refused)
{
    // Steps up and down are in balance when the part of refused starts is what the budget allows.
    const float step = refused ? -beyond_step : beyond_step * refusals_allowed_;
    most_beyond_ = std::clamp(most_beyond_ + step, least_beyond, largest_beyond);
}

void table_router::learn_run(worker_id worker, kind_index kind, duration run_time)
{
    const float seconds = std::max(static_cast<float>(run_time.count()) * 1e-6F, 1e-4F);
    if (run_times_.is_learned(kind)) {
        // Only then: a declared run time that is off by ten would make every worker look slow.
        workers_.learn_speed(worker, run_times_.log_mean(kind) - std::log(seconds));
    }
    run_times_.learn(kind, seconds, workers_.inverse_speed[worker]);
}

void table_router::record_load(worker_id worker, const worker_load& load)
{
    workers_.take_report(worker, load, time_->monotonic_now());
    workers_.leaving[worker] = load.leaving ? 1 : workers_.leaving[worker];
}

void table_router::set_share_range(double begin, double share)
{
    share_begin_ = begin;
    workers_.set_share(begin, share);
}

void table_router::set_leaving(worker_id worker, bool leaving)
{
    workers_.leaving[worker] = leaving ? 1 : 0;
}

duration table_router::expected_wait(std::size_t position) const
{
    if (fits_.empty()) {
        return duration::zero();
    }
    const placement task = make_placement({}, workers_.seconds(time_->monotonic_now()));
    double room = 0;
    for (worker_id id = 0; id < workers_.size() && room <= static_cast<double>(position); ++id) {
        if (workers_.leaving[id] == 0) {
            room += std::floor(std::max(strategy_->room(task, id), 0.0F));
        }
    }
    if (room > static_cast<double>(position)) {
        return duration::zero();
    }
    // Own tasks end at this rate in steady state, and each end frees a slot for the next one.
    const double rate = std::max(workers_.total_outstanding, 1.0) / run_times_.observed_mean();
    return duration{
        static_cast<std::int64_t>((static_cast<double>(position) - room + 1) / rate * 1e6)};
}

} // namespace cactusloom
