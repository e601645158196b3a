#pragma once

#include "job_spread.h"
#include "routing/router.h"
#include "run_time_model.h"
#include "strategy.h"
#include "worker_health.h"
#include "worker_table.h"

#include <string>
#include <vector>

namespace cactusloom {

// The router of one instance: its state about workers and kinds, and the strategy in use.
class table_router final : public router {
public:
    table_router(const deployment& settings, const clock& time, router_options options,
                 std::unique_ptr<strategy> initial_strategy);

    void apply(const deployment& settings) override;
    std::optional<worker_id> pick(const routing_query& query) override;
    bool can_ever_run(kind_index kind) const override;
    void record_start(worker_id worker, kind_index kind) override;
    void record_end(worker_id worker, kind_index kind, const start_reply& reply,
                    duration elapsed) override;
    void record_load(worker_id worker, const worker_load& load) override;
    void set_leaving(worker_id worker, bool leaving) override;
    void set_share(double share) override { set_share_range(share_begin_, share); }
    void set_share_range(double begin, double share) override;
    duration run_time_quantile(kind_index kind, double quantile) const override
    {
        return run_times_.quantile(kind, quantile);
    }
    duration expected_wait(std::size_t position) const override;

    const worker_health& health() const { return health_; }

private:
    void load_kinds(const deployment& settings);
    placement_input make_placement_input(const routing_query& query, double now) const;
    void adjust_overcommit_limit(bool refused);
    void learn_run(worker_id worker, kind_index kind, duration run_time);

    const clock* time_;
    double share_begin_;
    double blocked_since_ = 0;
    double last_blocked_ = -1; // last time a pick found no room
    double waiting_since_ = 0;
    double last_waited_ = -1; // last time a pick returned no worker for any reason
    worker_table workers_;
    run_time_model run_times_;
    worker_health health_;
    job_spread spread_;
    float allowed_refusal_ratio_ = 0; // refusals per completed start
    float overcommit_limit_;
    std::unique_ptr<strategy> strategy_;
    std::vector<std::vector<std::uint8_t>> eligible_; // by kind and worker
    std::vector<std::uint8_t> retired_kinds_;
    std::vector<float> no_penalty_;
    std::uint64_t seed_;
    std::string strategy_name_;
};

} // namespace cactusloom
