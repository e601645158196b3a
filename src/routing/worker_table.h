#pragma once

#include "base/time.h"
#include "config/deployment.h"
#include "platform/worker_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusloom {

// What one instance knows about every worker, as a struct of arrays so that a scan over all
// workers reads few cache lines. Positions are worker ids.
struct worker_table {
    worker_table(const deployment& settings, double share_begin, double share);

    // Takes the workers of a new document. Known workers keep their positions and what was learned.
    void apply(const deployment& settings);

    std::size_t size() const { return slots.size(); }

    // Recomputes this instance's part of each worker's slots. Instances whose ranges do not
    // overlap get different slots, so that all quotas of a worker add up to its slots.
    void set_share(double begin, double share);

    // Takes in a load report. Its own tasks are subtracted, what remains is the others' load.
    void record_report(worker_id worker, const worker_load& load, monotonic_time now);

    // A refusal proves that the worker is full, whatever an older report says. It gets no task
    // for `pause` seconds.
    void record_refusal(worker_id worker, monotonic_time now, float pause);

    // Learns from one run: `log_ratio` is ln(expected normalised run time / observed run time).
    void learn_speed(worker_id worker, float log_ratio);

    std::vector<float> slots;
    std::vector<float> outstanding;       // own tasks started and not ended
    std::vector<float> peer_load;         // other instances' tasks when last reported
    std::vector<float> mean_peer_load;    // long-term mean of `peer_load`
    std::vector<float> default_peer_load; // `peer_load` while nothing was reported
    std::vector<float> own_slots;         // own slots, a whole number
    std::vector<double> reported_at;      // as seconds() counts
    std::vector<double> busy_until;       // after a refusal
    std::vector<float> speed;             // 1 is the speed that normalised run times refer to
    std::vector<float> inverse_speed;
    std::vector<float> inverse_slots;
    std::vector<float> slow_start_limit; // bound on own outstanding tasks until replies have come
    std::vector<std::uint16_t> rack;
    std::vector<std::uint8_t> leaving;
    std::size_t racks = 0;
    std::vector<float> rack_slot_share; // part of all slots, by rack
    double total_outstanding = 0;
    double total_own_slots = 1; // part of all slots, at least one

    // Seconds since the table was made.
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
    std::vector<double> offsets_; // by worker, 0 to 1, the same on all instances
    monotonic_time origin_{};
};

} // namespace cactusloom
