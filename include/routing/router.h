#pragma once

#include "base/time.h"
#include "config/deployment.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace cactusloom {

class clock;

// Position of a request kind in deployment::kinds.
using kind_index = std::uint32_t;

// A task that needs a worker.
struct routing_query {
    kind_index kind = 0;
    std::uint64_t job_key = 0;           // same for all tasks of a job, to spread them over racks
    std::optional<worker_id> excluded{}; // worker of the previous attempt
};

// Properties of this instance, from the platform's instance list and the membership.
struct router_options {
    std::uint64_t seed = 0;
    double share = 1.0; // fraction of the total load that this instance handles, 0 to 1
    // Sum of the shares of all instances that precede this one in an order common to all, for
    // example by name. It lets the instances divide each worker's slots without overlap.
    // Negative if unknown; a random position is then used.
    double share_begin = -1.0;
};

// Chooses a worker for each task and learns from replies and load reports. The strategy is
// selected by name in the dispatch profile. A worker id is a position in deployment::workers.
// No call allocates memory in steady state.
class router {
public:
    // Returns null if the strategy named in the profile is unknown.
    static std::unique_ptr<router> make(const deployment& settings, const clock& time,
                                        router_options options);

    router() = default;
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    virtual ~router() = default;

    // Applies a new configuration. Kinds and workers keep their positions, new ones are appended
    // (config/stable_positions.h) and retired ones get no new tasks. Learned state of the others is
    // kept, and ends of running tasks may still be recorded.
    virtual void apply(const deployment& settings) = 0;

    // Picks a worker that has room for the task, or nothing if the task should wait.
    virtual std::optional<worker_id> pick(const routing_query& query) = 0;

    // True if some worker has the features that the kind needs and at least one slot.
    virtual bool can_ever_run(kind_index kind) const = 0;

    // Must be called when a start request is passed to the worker client.
    virtual void record_start(worker_id worker, kind_index kind) = 0;

    // Must be called once for each record_start(); `elapsed` is the time since that call.
    virtual void record_end(worker_id worker, kind_index kind, const start_reply& reply,
                            duration elapsed) = 0;

    // Records a load report that did not arrive in a reply, for example the platform's usage
    // report.
    virtual void record_load(worker_id worker, const worker_load& load) = 0;

    // Marks a worker as leaving or staying. A leaving worker is never picked.
    virtual void set_leaving(worker_id worker, bool leaving) = 0;

    // Changes this instance's share of the total load. Called when the membership changes.
    virtual void set_share(double share) = 0;

    // Also changes the sum of the preceding shares; see router_options::share_begin.
    virtual void set_share_range(double /*begin*/, double share) { set_share(share); }

    // Quantile of the observed run times of a kind over all workers; the declared run time until
    // enough replies have arrived.
    virtual duration run_time_quantile(kind_index kind, double quantile) const = 0;

    // Estimated time until the queued task at `position` (from 0) gets a slot.
    virtual duration expected_wait(std::size_t position) const = 0;
};

} // namespace cactusloom
