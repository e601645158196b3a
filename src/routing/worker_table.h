#pragma once

#include "base/time.h"
#include "config/deployment.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusloom {

// State of all workers as seen by one instance, indexed by worker id. A struct of arrays, so that a
// scan over all workers reads few cache lines.
struct worker_table {
    worker_table(const deployment& settings, double share_begin, double share);

    // Applies the workers of a new configuration. Known workers keep their positions and learned
    // state.
    void apply(const deployment& settings);

    std::size_t size() const { return slots.size(); }

    // Recomputes this instance's share of each worker's slots. Instances whose ranges do not
    // overlap get different slots, so that the shares of a worker add up to its slots.
    void set_share(double begin, double share);

    // Records a load report. The load of other instances is the total minus the own tasks.
    void record_report(worker_id worker, const worker_load& load, monotonic_time now);

    // Records a refusal, which proves that the worker is full whatever an older report says. The
    // worker gets no task for `pause` seconds.
    void record_refusal(worker_id worker, monotonic_time now, float pause);

    // Updates the speed from one run. `log_ratio` is ln(expected normalised run time / observed run
    // time).
    void learn_speed(worker_id worker, float log_ratio);

    std::vector<float> slots;
    std::vector<float> outstanding;       // own tasks started and not ended
    std::vector<float> peer_load;         // tasks of other instances, as last reported
    std::vector<float> mean_peer_load;    // long-term mean of peer_load
    std::vector<float> default_peer_load; // expected peer_load without any report
    std::vector<float> own_slots;         // this instance's share of the slots, a whole number
    std::vector<double> reported_at;      // in the time of seconds()
    std::vector<double> busy_until;       // end of the pause after a refusal
    std::vector<float> speed;             // 1 is the speed of normalised run times
    std::vector<float> inverse_speed;
    std::vector<float> inverse_slots;
    std::vector<float>
        slow_start_limit; // bound on own outstanding tasks; grows with each completion
    std::vector<std::uint16_t> rack;
    std::vector<std::uint8_t> leaving;
    std::size_t racks = 0;
    std::vector<float> rack_slot_share; // fraction of all slots, by rack
    double total_outstanding = 0;
    double total_own_slots = 1; // own slots over all workers, at least one

    // Converts a time to the time scale of the members, in seconds.
    double seconds(monotonic_time now) const;

private:
    struct speed_state {
        float slow_mean = 0; // ln speed, averaged over up to 100 runs
        float fast_mean = 0; // ln speed, averaged over about 8 runs
        float runs = 0;
    };

    std::map<std::string, std::uint16_t> rack_numbers_;
    double share_begin_;
    double share_;
    std::vector<speed_state> speeds_;
    std::vector<double> offsets_; // by worker, 0 to 1, equal on all instances
    monotonic_time origin_{};
};

} // namespace cactusloom
