#pragma once

#include <string>

namespace cactusloom {

class account_writer;
class caller_api;
class config_follower;
class counters;
class dispatcher;
class forwarder;
class http_server;
class peer_link;

// The parts that a report looks at. `jobs` is null until a document is in force.
struct report_sources {
    const peer_link& peers;
    const config_follower& follower;
    const account_writer& account;
    const forwarder& forwards;
    const http_server& server;
    const caller_api& api;
    const counters& counts;
    const dispatcher* jobs;
    bool shutting_down;
};

// JSON for a person or a program that asks how the instance is.
std::string format_status_report(const report_sources& from);

// Counts and gauges in the text format of Prometheus.
std::string format_metrics(const report_sources& from);

} // namespace cactusloom
