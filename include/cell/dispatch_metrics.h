#pragma once

#include "metrics/latency_histogram.h"

#include <cstdint>
#include <string>

namespace cactusloom {

class cell_service;
class caller_request_handler;

// Counters of the network layer and of the event loop.
struct network_counts {
    const latency_histogram& event_loop_lateness;
    const latency_histogram& read_lag;            // of input
    const latency_histogram& configuration_delay; // since a peer announced the version
    std::uint64_t caller_connections = 0;
    std::uint64_t open_requests = 0;
    std::uint64_t connections_opened = 0; // to workers and the store
    std::uint64_t unreadable_configurations = 0;
    std::uint64_t unreadable_worker_entries = 0;
};

// Formats all counters and histograms of an instance in the Prometheus text exposition format.
std::string format_dispatch_metrics(const cell_service& cells,
                                    const caller_request_handler& handler,
                                    const network_counts& network);

} // namespace cactusloom
