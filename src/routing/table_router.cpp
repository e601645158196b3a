#include "table_router.h"

#include "placement_cost.h"

#include "base/clock.h"
#include "base/random.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cactusloom {
namespace {

// Pause after a refusal, in mean run times. A full worker with eight slots frees one within an
// eighth of a run time and then serves its own queue first; an attempt before that costs two
// messages.
constexpr float refusal_pause = 0.5F;

// Share of the profile's message budget for refusals, which cost two messages each. The rest is
// left to lease renewals and hedges.
constexpr float refusal_budget_share = 0.8F;
// Initial value and bounds of the number of tasks that a worker may be given in excess of its
// slots, and the step by which a refusal lowers it.
constexpr float initial_overcommit_limit = 2.0F;
// A lower minimum confines an instance with a backlog to its own slots permanently: with reports
// 2 s old, p99 of lough_tapioca at 95 % load is then 22 times that of the ideal scheduler.
constexpr float min_overcommit_limit = 0.0F;
constexpr float max_overcommit_limit = 8.0F;
constexpr float overcommit_limit_step = 0.25F;

// Seconds without an unsuccessful pick after which the queue counts as empty. Longer than the usual
// time between two ends of own tasks, since each end triggers the next pick.
constexpr double queue_idle_time = 0.05;

std::vector<std::uint8_t> eligible_workers(const deployment& settings, const request_kind& kind)
{
    std::vector<std::uint8_t> eligible;
    for (const worker_settings& worker : settings.workers) {
        const auto has = [&](const std::string& feature) {
            return std::find(worker.features.begin(), worker.features.end(), feature) !=
                   worker.features.end();
        };
        const bool all = std::all_of(kind.needs.begin(), kind.needs.end(), has);
        eligible.push_back(all && worker.slots > 0 && !worker.retired ? 1 : 0);
    }
    return eligible;
}

// Uses a random position among the instances if it is not known.
double initial_share_begin(const router_options& options)
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
        return task_outcome::unreachable;
    default:
        return task_outcome::success;
    }
}

} // namespace

std::unique_ptr<router> router::make(const deployment& settings, const clock& time,
                                     router_options options)
{
    auto initial_strategy = strategy::make(settings.profile.routing, options.seed);
    if (!initial_strategy) {
        return nullptr;
    }
    return std::make_unique<table_router>(settings, time, options, std::move(initial_strategy));
}

table_router::table_router(const deployment& settings, const clock& time, router_options options,
                           std::unique_ptr<strategy> initial_strategy)
    : time_(&time), share_begin_(initial_share_begin(options)),
      workers_(settings, share_begin_, options.share), run_times_(settings),
      health_(workers_.rack, workers_.racks, options.seed), spread_(workers_.rack_slot_share),
      overcommit_limit_(initial_overcommit_limit), strategy_(std::move(initial_strategy)),
      seed_(options.seed), strategy_name_(settings.profile.routing)
{
    load_kinds(settings);
}

void table_router::apply(const deployment& settings)
{
    workers_.apply(settings);
    run_times_.apply(settings);
    health_.apply(workers_.rack, workers_.racks);
    spread_ = job_spread(workers_.rack_slot_share);
    if (settings.profile.routing != strategy_name_) {
        // Validation rejects unknown names. Keep the old strategy if one gets here.
        if (auto next = strategy::make(settings.profile.routing, seed_)) {
            strategy_ = std::move(next);
            strategy_name_ = settings.profile.routing;
        }
    }
    load_kinds(settings);
}

void table_router::load_kinds(const deployment& settings)
{
    allowed_refusal_ratio_ =
        static_cast<float>(std::max(settings.profile.message_budget - 2, 0.0) / 2) *
        refusal_budget_share;
    eligible_.clear();
    retired_kinds_.clear();
    for (const request_kind& kind : settings.kinds) {
        eligible_.push_back(eligible_workers(settings, kind));
        retired_kinds_.push_back(kind.retired ? 1 : 0);
    }
    no_penalty_.assign(workers_.racks, 0);
}

placement_input table_router::make_placement_input(const routing_query& query, double now) const
{
    return placement_input{.workers = &workers_,
                           .run_times = &run_times_,
                           .limits = health_.limits(),
                           .eligible = eligible_[query.kind],
                           .rack_penalty = no_penalty_,
                           .kind = query.kind,
                           .excluded = query.excluded.value_or(~worker_id{0}),
                           .overcommit_limit = overcommit_limit_,
                           .now = now};
}

std::optional<worker_id> table_router::pick(const routing_query& query)
{
    if (workers_.size() == 0) {
        return std::nullopt;
    }
    const double now = workers_.seconds(time_->monotonic_now());
    health_.evaluate(now);
    placement_input input = make_placement_input(query, now);
    if (health_.is_probe_due(now)) {
        const auto probe = health_.begin_probe(now, [&](worker_id id) {
            return input.is_allowed(id) && workers_.outstanding[id] < workers_.slots[id];
        });
        if (probe) {
            return probe;
        }
    }
    input.rack_penalty = spread_.penalties(query.job_key);
    if (now - last_blocked_ > queue_idle_time) {
        blocked_since_ = now;
    }
    input.utilisation = static_cast<float>(workers_.total_outstanding / workers_.total_own_slots);
    input.blocked_time = static_cast<float>(now - blocked_since_);
    if (now - last_waited_ > queue_idle_time) {
        waiting_since_ = now;
    }
    input.waiting_time = static_cast<float>(now - waiting_since_);
    const choice chosen = strategy_->choose(input);
    if (chosen.worker) {
        spread_.add(query.job_key, workers_.rack[*chosen.worker]);
    }
    else {
        last_waited_ = now;
        last_blocked_ = chosen.deferred ? last_blocked_ : now;
    }
    return chosen.worker;
}

bool table_router::can_ever_run(kind_index kind) const
{
    return kind < eligible_.size() && retired_kinds_[kind] == 0 &&
           std::find(eligible_[kind].begin(), eligible_[kind].end(), 1) != eligible_[kind].end();
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
        workers_.record_report(worker, reply.load, now);
        workers_.leaving[worker] = reply.load.leaving ? 1 : workers_.leaving[worker];
    }
    switch (reply.status) {
    case start_status::refused_busy:
        workers_.record_refusal(worker, now, run_times_.observed_mean() * refusal_pause);
        adjust_overcommit_limit(true);
        return; // a full worker may be healthy
    case start_status::refused_leaving:
        workers_.leaving[worker] = 1;
        return;
    case start_status::stopped:
        return; // ended at the request of this instance
    case start_status::completed:
        adjust_overcommit_limit(false);
        workers_.slow_start_limit[worker] += 2;
        learn_run(worker, kind, reply.run_time > duration::zero() ? reply.run_time : elapsed);
        break;
    default:
        break;
    }
    health_.record(worker, outcome_of(reply.status), workers_.seconds(now));
}

void table_router::adjust_overcommit_limit(bool refused)
{
    // The steps up and down balance when refusals use exactly the budgeted messages.
    const float step =
        refused ? -overcommit_limit_step : overcommit_limit_step * allowed_refusal_ratio_;
    overcommit_limit_ =
        std::clamp(overcommit_limit_ + step, min_overcommit_limit, max_overcommit_limit);
}

void table_router::learn_run(worker_id worker, kind_index kind, duration run_time)
{
    const float seconds = std::max(static_cast<float>(run_time.count()) * 1e-6F, 1e-4F);
    if (run_times_.is_learned(kind)) {
        // A declared run time that is wrong by a factor of ten would make every worker look slow or
        // fast.
        workers_.learn_speed(worker, run_times_.log_mean(kind) - std::log(seconds));
    }
    run_times_.learn(kind, seconds, workers_.inverse_speed[worker]);
}

void table_router::record_load(worker_id worker, const worker_load& load)
{
    workers_.record_report(worker, load, time_->monotonic_now());
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
    if (eligible_.empty()) {
        return duration::zero();
    }
    const placement_input input =
        make_placement_input({}, workers_.seconds(time_->monotonic_now()));
    double room = 0;
    for (worker_id id = 0; id < workers_.size() && room <= static_cast<double>(position); ++id) {
        if (workers_.leaving[id] == 0) {
            room += std::floor(std::max(strategy_->room(input, id), 0.0F));
        }
    }
    if (room > static_cast<double>(position)) {
        return duration::zero();
    }
    // In steady state own tasks end at this rate, and each end frees a slot.
    const double rate = std::max(workers_.total_outstanding, 1.0) / run_times_.observed_mean();
    return duration{
        static_cast<std::int64_t>((static_cast<double>(position) - room + 1) / rate * 1e6)};
}

} // namespace cactusloom
