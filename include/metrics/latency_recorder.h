#pragma once

#include "base/time.h"

#include <cstdint>
#include <memory>

namespace cactusloom {

// Estimates quantiles of recent latencies in constant memory.
class latency_recorder {
public:
    struct summary {
        std::uint64_t count = 0; // since the process started
        duration p50{};
        duration p90{};
        duration p99{};
    };

    latency_recorder();
    ~latency_recorder();

    void record(duration latency);

    // Quantiles over up to 11,000 recent samples; not meaningful below five samples.
    summary read() const;

private:
    struct window;
    std::unique_ptr<window> current_;
    std::unique_ptr<window> previous_;
    std::uint64_t count_ = 0;
};

} // namespace cactusloom
