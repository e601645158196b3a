#pragma once

#include <string>

namespace cactusloom {

class caller_api;
class counters;
class entry_instance;
class forwarder;
class http_server;

// The parts that a report looks at.
struct report_sources {
    const entry_instance& entry;
    const forwarder& forwards;
    const http_server& server;
    const caller_api& api;
    const counters& counts;
};

// JSON for a person or a program that asks how the instance is.
std::string format_status_report(const report_sources& from);

// Counts and gauges in the text format of Prometheus.
std::string format_metrics(const report_sources& from);

} // namespace cactusloom
