#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cactusloom {

using header_list = std::vector<std::pair<std::string, std::string>>;

// A request to send. The connection adds Host and Content-Length.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
};

// A received reply.
struct http_response {
    int status = 0;
    std::string body;
};

// Why a request got no reply.
enum class call_failure {
    not_sent,   // guaranteed to have had no effect
    reply_lost, // the peer may have acted on it
};

} // namespace cactusloom
