#pragma once

#include "cell/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Host and path of a queue's submissions, and the settings of its jobs.
struct queue_route {
    std::string host;
    std::string path_prefix;
    duration timeout{};
    queue_terms terms;
};

// Limits on callers' connections.
struct caller_limits {
    std::uint32_t header_bytes = 16384;
    std::uint32_t body_bytes = 262144;
    duration header_timeout = std::chrono::seconds{3};
    duration idle_timeout = std::chrono::seconds{15};
};

// One version of the queues in force. Versions rise; an older one never replaces a newer one.
struct queue_table {
    std::int64_t version = -1;
    std::vector<queue_route> routes;
    caller_limits limits;

    // Route of the host with the longest prefix of the path, or null. The host is compared
    // without its port.
    const queue_route* find(std::string_view host, std::string_view path) const;
};

} // namespace cactusloom
