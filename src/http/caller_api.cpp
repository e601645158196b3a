#include "http/caller_api.h"

#include "config/deployment.h"
#include "dispatch/job_service.h"
#include "http/caller_codec.h"
#include "http/worker_codec.h"

#include <algorithm>
#include <array>

namespace cactusloom {
namespace {

// A waiting caller is answered at most this long after the deadline of its request. Covers the
// latency of the dispatcher's own timers.
constexpr duration answer_grace = std::chrono::seconds{2};

constexpr const char* prefix_header = "Cactusloom-Id-Prefix";

} // namespace

struct caller_api::route {
    std::string_view method;
    std::string_view path;
    bool has_rest; // the path continues with a name
    void (caller_api::*serve)(const http_exchange_ptr&, std::string_view);
};

void caller_api::serve(const http_exchange_ptr& exchange)
{
    static constexpr std::array<route, 13> routes{{
        {"GET", "/v1/prefix", false, &caller_api::serve_prefix},
        {"POST", "/v1/requests", false, &caller_api::serve_request},
        {"POST", "/v1/jobs", false, &caller_api::serve_new_job},
        {"GET", "/v1/jobs/", true, &caller_api::serve_job},
        {"DELETE", "/v1/jobs/", true, &caller_api::serve_job},
        {"GET", "/v1/accounts/", true, &caller_api::serve_account},
        {"GET", "/v1/config", false, &caller_api::serve_config},
        {"GET", "/v1/config/history", false, &caller_api::serve_config_history},
        {"POST", "/v1/config/edits", false, &caller_api::serve_config_edit},
        {"GET", "/v1/status", false, &caller_api::serve_status},
        {"GET", "/v1/metrics", false, &caller_api::serve_metrics},
        {"GET", "/v1/ready", false, &caller_api::serve_ready},
        {"HEAD", "/v1/ready", false, &caller_api::serve_ready},
    }};
    ++counts_.requests;
    const auto path = exchange->path();
    bool path_known = false;
    for (const auto& it : routes) {
        const bool matches = it.has_rest ? path.starts_with(it.path) && path.size() > it.path.size()
                                         : path == it.path;
        path_known = path_known || matches;
        if (matches && exchange->method() == it.method) {
            (this->*it.serve)(exchange, path.substr(it.path.size()));
            return;
        }
    }
    reply(exchange, path_known ? 405 : 404,
          path_known
              ? R"({"state":"failed_not_run","reason":"this resource does not take this method"})"
              : R"({"state":"failed_not_run","reason":"no such resource"})");
}

void caller_api::reply(const http_exchange_ptr& exchange, unsigned status, std::string_view body)
{
    exchange->set_header(prefix_header, dependencies_.issue_prefix());
    exchange->reply(status, body);
}

void caller_api::refuse(const http_exchange_ptr& exchange, const error& reason, std::string_view id)
{
    if (reason.code == errc::invalid_argument || reason.code == errc::limit_exceeded) {
        ++counts_.malformed;
    }
    reply(exchange, http_status_of(reason.code), format_refusal(id, reason));
}

caller_api_dependencies::text_callback caller_api::reply_to(const http_exchange_ptr& exchange)
{
    return [this, exchange](result<std::string> text) {
        if (text) {
            reply(exchange, 200, text.value());
        }
        else {
            refuse(exchange, text.error(), "");
        }
    };
}

void caller_api::serve_prefix(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    const std::string prefix = dependencies_.issue_prefix();
    exchange->set_header(prefix_header, prefix);
    exchange->reply(200, R"({"prefix":")" + prefix + R"("})");
}

void caller_api::serve_request(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    submit(exchange, true);
}

void caller_api::serve_new_job(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    submit(exchange, false);
}

void caller_api::submit(const http_exchange_ptr& exchange, bool single)
{
    job_service* jobs = find_jobs(exchange);
    if (jobs == nullptr) {
        return;
    }
    auto request = parse_submission(exchange->body(), single, *dependencies_.settings());
    if (!request) {
        refuse(exchange, request.error(), "");
        return;
    }
    const std::string id = request.value().id;
    if (dependencies_.forward && dependencies_.forward(exchange, id)) {
        return;
    }
    const auto deadline = request.value().deadline;
    const auto wait = exchange->query("wait_ms");
    const auto wait_ms = parse_number(wait);
    if (!wait.empty() && (!wait_ms || *wait_ms < 0)) {
        refuse(exchange, {errc::invalid_argument, "'wait_ms' must be a whole number"}, id);
        return;
    }
    if (auto accepted = jobs->submit(std::move(request).value()); !accepted) {
        refuse(exchange, accepted.error(), id);
        return;
    }
    const auto max_wait = deadline + answer_grace;
    if (single || wait_ms) {
        const auto limit = wait_ms ? std::min(duration{std::chrono::milliseconds{
                                                  std::min<std::int64_t>(*wait_ms, 3'600'000)}},
                                              max_wait)
                                   : max_wait;
        answer_later(exchange, id, limit, single);
        return;
    }
    const auto status = jobs->status(id);
    reply(exchange, 202, format_status(id, status ? status.value() : job_status{}));
}

job_service* caller_api::find_jobs(const http_exchange_ptr& exchange)
{
    job_service* jobs = dependencies_.jobs();
    if (jobs == nullptr) {
        refuse(exchange, {errc::not_ready, "no configuration is in force yet"}, "");
    }
    return jobs;
}

void caller_api::answer_later(const http_exchange_ptr& exchange, const std::string& id,
                              duration limit, bool single)
{
    dependencies_.jobs()->wait(id, limit, [this, exchange, id, single](const job_answer& answer) {
        reply(exchange, answer.state == job_state::running ? 202 : 200,
              format_answer(id, answer, single));
    });
}

void caller_api::serve_job(const http_exchange_ptr& exchange, std::string_view rest)
{
    constexpr std::string_view answer_suffix = "/answer";
    const bool wants_answer = rest.ends_with(answer_suffix);
    if (wants_answer) {
        rest.remove_suffix(answer_suffix.size());
    }
    const std::string id(rest);
    if (!is_submission_id(id)) {
        refuse(exchange, {errc::invalid_argument, "not a submission id"}, "");
        return;
    }
    if (dependencies_.forward && dependencies_.forward(exchange, id)) {
        return;
    }
    job_service* jobs = find_jobs(exchange);
    if (jobs == nullptr) {
        return;
    }
    if (exchange->method() == "DELETE") {
        if (auto cancelled = jobs->cancel(id); !cancelled) {
            refuse(exchange, cancelled.error(), id);
            return;
        }
    }
    const auto status = jobs->status(id);
    if (!status) {
        refuse(exchange, status.error(), id);
        return;
    }
    if (!wants_answer || exchange->method() != "GET") {
        reply(exchange, 200, format_status(id, status.value()));
        return;
    }
    const auto wait = exchange->query("wait_ms");
    const auto wait_ms = parse_number(wait.empty() ? "0" : wait);
    constexpr std::int64_t max_wait_ms = 62'000; // the longest deadline plus answer_grace
    if (!wait_ms || *wait_ms < 0) {
        refuse(exchange, {errc::invalid_argument, "'wait_ms' must be a whole number"}, id);
        return;
    }
    answer_later(exchange, id, duration{std::chrono::milliseconds{std::min(*wait_ms, max_wait_ms)}},
                 status.value().tasks == 1 && exchange->query("form") == "single");
}

void caller_api::serve_account(const http_exchange_ptr& exchange, std::string_view rest)
{
    if (!dependencies_.account) {
        refuse(exchange, {errc::not_found, "this instance keeps no account"}, "");
        return;
    }
    dependencies_.account(rest, reply_to(exchange));
}

void caller_api::serve_config(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    reply_to(exchange)(dependencies_.show_config
                           ? dependencies_.show_config()
                           : failure(errc::not_found, "this instance follows no document"));
}

void caller_api::serve_config_history(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    if (!dependencies_.config_history) {
        refuse(exchange, {errc::not_found, "this instance follows no document"}, "");
        return;
    }
    dependencies_.config_history(reply_to(exchange));
}

void caller_api::serve_config_edit(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    if (!dependencies_.edit_config) {
        refuse(exchange, {errc::not_found, "this instance follows no document"}, "");
        return;
    }
    dependencies_.edit_config(exchange->body(), reply_to(exchange));
}

void caller_api::serve_status(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    reply(exchange, 200, dependencies_.status ? dependencies_.status() : "{}");
}

void caller_api::serve_metrics(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    exchange->set_header(prefix_header, dependencies_.issue_prefix());
    exchange->reply(200, dependencies_.metrics ? dependencies_.metrics() : "",
                    "text/plain; version=0.0.4");
}

void caller_api::serve_ready(const http_exchange_ptr& exchange, std::string_view /*rest*/)
{
    if (const auto ready = dependencies_.ready ? dependencies_.ready()
                                               : result<void>{boost::outcome_v2::success()};
        !ready) {
        refuse(exchange, ready.error(), "");
        return;
    }
    reply(exchange, 200, R"({"state":"completed","reason":"ready"})");
}

} // namespace cactusloom
