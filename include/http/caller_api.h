#pragma once

#include "base/result.h"
#include "http/http_server.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

class job_service;
struct deployment;

// What the caller API needs from the rest of the instance. Everything the functions refer to must
// outlive the API. `account` and the configuration functions may be empty; their resources then
// answer 404.
struct caller_api_dependencies {
    using text_callback = std::function<void(result<std::string>)>; // JSON text

    std::function<std::string()> issue_prefix;
    std::function<job_service*()> jobs;          // null until a configuration is active
    std::function<const deployment*()> settings; // same
    std::function<result<void>()> ready;         // success: the instance accepts new callers
    std::function<std::string()> status;         // JSON text
    std::function<std::string()> metrics;        // Prometheus text format
    std::function<bool(const http_exchange_ptr&, std::string_view id)> forward; // true: it answers
    std::function<void(std::string_view customer, text_callback)> account;
    std::function<result<std::string>()> show_config; // JSON text
    std::function<void(text_callback)> config_history;
    std::function<void(std::string_view body, text_callback)> edit_config;
};

// Serves the caller API of docs/design.md section 2.2.
class caller_api {
public:
    explicit caller_api(caller_api_dependencies dependencies)
        : dependencies_(std::move(dependencies))
    {
    }

    // Answers an exchange, immediately or later. Can be used as http_server::handler.
    void serve(const http_exchange_ptr& exchange);

    struct counters {
        std::uint64_t requests = 0;
        std::uint64_t malformed = 0;
    };
    const counters& counts() const { return counts_; }

private:
    struct route;

    void serve_prefix(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_request(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_new_job(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_job(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_account(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_config(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_config_history(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_config_edit(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_status(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_metrics(const http_exchange_ptr& exchange, std::string_view rest);
    void serve_ready(const http_exchange_ptr& exchange, std::string_view rest);

    void submit(const http_exchange_ptr& exchange, bool single);
    // Returns null after rejecting the exchange because no configuration is active.
    job_service* find_jobs(const http_exchange_ptr& exchange);
    void answer_later(const http_exchange_ptr& exchange, const std::string& id, duration limit,
                      bool single);
    void reply(const http_exchange_ptr& exchange, unsigned status, std::string_view body);
    void refuse(const http_exchange_ptr& exchange, const error& reason, std::string_view id);
    caller_api_dependencies::text_callback reply_to(const http_exchange_ptr& exchange);

    caller_api_dependencies dependencies_;
    counters counts_;
};

} // namespace cactusloom
