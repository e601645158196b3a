#pragma once

#include "base/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// Counts latencies in fixed buckets from 5 ms to 10 s.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    void record(duration latency);

    // Appends cumulative buckets, sum and count in the Prometheus text format. `labels` is empty or
    // a list such as `end="completed"`.
    void format(std::string& out, std::string_view name, std::string_view labels) const;

private:
    struct buckets;
    std::unique_ptr<buckets> buckets_;
    double sum_seconds_ = 0;
};

} // namespace cactusloom
