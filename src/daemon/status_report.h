#pragma once

#include <string>

namespace cactusloom {

class caller_api;
class counters;
class entry_instance;
class forwarder;
class http_server;

// Sources of the reports.
struct report_sources {
    const entry_instance& entry;
    const forwarder& forwards;
    const http_server& server;
    const caller_api& api;
    const counters& counts;
};

// Status of the instance in JSON.
std::string format_status_report(const report_sources& from);

// Counters and gauges in the Prometheus text format.
std::string format_metrics(const report_sources& from);

} // namespace cactusloom
