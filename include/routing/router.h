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

// What the router needs to know to place one task.
struct routing_query {
    kind_index kind = 0;
    std::uint64_t job_key = 0;           // tasks of one job share it, so they spread over racks
    std::optional<worker_id> excluded{}; // worker of an earlier attempt
};

// Facts about this instance that the platform's list and the peers supply.
struct router_options {
    std::uint64_t seed = 0;
    double share = 1.0; // this instance's part of the total load, 0 to 1
    // Sum of the shares of the instances before this one in an order that all agree on, for
    // example by name. With it the instances divide each worker's slots without overlap. Below
    // zero if unknown: the slots are then divided at random.
    double share_begin = -1.0;
};

// Chooses workers and learns from what comes back. A deployment strategy is selected by name.
// Worker ids are positions in deployment::workers. No call allocates in steady state.
class router {
public:
    // Returns null if the profile names an unknown strategy.
    static std::unique_ptr<router> make(const deployment& settings, const clock& time,
                                        router_options options);

    router() = default;
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    virtual ~router() = default;

    // Takes a new document into force. Kinds and workers keep their positions and new ones are
    // appended (config/stable_positions.h); retired ones get no new work. What was learned about
    // the others is kept, and outcomes of running tasks may still be recorded.
    virtual void apply(const deployment& settings) = 0;

    // Picks a worker that has room for the task, or nothing if the task should wait.
    virtual std::optional<worker_id> pick(const routing_query& query) = 0;

    // True if some worker could run the kind at some time (features fit and slots exist).
    virtual bool can_ever_run(kind_index kind) const = 0;

    // Must be called when a start is handed to the worker client.
    virtual void record_start(worker_id worker, kind_index kind) = 0;

    // Must be called once for each record_start; `elapsed` is the time since then.
    virtual void record_end(worker_id worker, kind_index kind, const start_reply& reply,
                            duration elapsed) = 0;

    // A report that did not come with a reply, for example the platform's usage report.
    virtual void record_load(worker_id worker, const worker_load& load) = 0;

    // A leaving worker is never picked again unless it is reported as staying.
    virtual void set_leaving(worker_id worker, bool leaving) = 0;

    // Changes this instance's part of the total load, when members come and go.
    virtual void set_share(double share) = 0;

    // The same with the sum of the shares before this one, as in router_options.
    virtual void set_share_range(double /*begin*/, double share) { set_share(share); }

    // Learned run-time quantile of a kind over all workers, or the declared run time at first.
    virtual duration run_time_quantile(kind_index kind, double quantile) const = 0;

    // Expected wait until the `position`-th queued task (from 0) gets a slot.
    virtual duration expected_wait(std::size_t position) const = 0;
};

} // namespace cactusloom
