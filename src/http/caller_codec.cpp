#include "http/caller_codec.h"

#include "config/deployment.h"
#include "http/json_text.h"
#include "submission/submission_id.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {
namespace {

constexpr std::size_t max_name_length = 256;

Json::Value to_json(std::string_view text)
{
    return {text.data(), text.data() + text.size()};
}

result<std::string> parse_string(const Json::Value& root, const char* name, std::size_t max_bytes)
{
    const Json::Value& value = root[name];
    if (!value.isString()) {
        return failure(errc::invalid_argument, fmt::format("'{}' must be a text", name));
    }
    std::string text = value.asString();
    if (text.empty() || text.size() > max_bytes) {
        return failure(errc::invalid_argument,
                       fmt::format("'{}' must have 1 to {} bytes", name, max_bytes));
    }
    return text;
}

result<duration> parse_deadline(const Json::Value& root, std::string_view kind,
                                const deployment& settings)
{
    const Json::Value& value = root["deadline_ms"];
    if (value.isNull()) {
        const auto it = std::find_if(settings.kinds.begin(), settings.kinds.end(),
                                     [&](const auto& entry) { return entry.name == kind; });
        // The dispatcher rejects an unknown kind, so any deadline will do.
        return it == settings.kinds.end() || it->default_deadline <= duration::zero()
                   ? settings.limits.max_deadline
                   : it->default_deadline;
    }
    const auto max_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.limits.max_deadline).count();
    if (!value.isInt64() || value.asInt64() < 1 || value.asInt64() > max_ms) {
        return failure(errc::invalid_argument,
                       fmt::format("'deadline_ms' must be a whole number from 1 to {}", max_ms));
    }
    return duration{std::chrono::milliseconds{value.asInt64()}};
}

result<std::vector<std::string>> parse_tasks(const Json::Value& root, bool single,
                                             const deployment& settings)
{
    std::vector<std::string> payloads;
    if (single) {
        if (!root["payload"].isString()) {
            return failure(errc::invalid_argument, "'payload' must be a text");
        }
        payloads.push_back(root["payload"].asString());
        return payloads;
    }
    const Json::Value& tasks = root["tasks"];
    if (!tasks.isArray() || tasks.empty()) {
        return failure(errc::invalid_argument, "'tasks' must be a list with at least one text");
    }
    if (tasks.size() > settings.limits.max_tasks_per_job) {
        return failure(errc::limit_exceeded,
                       fmt::format("a job may have {} tasks, this has {}",
                                   settings.limits.max_tasks_per_job, tasks.size()));
    }
    for (const auto& it : tasks) {
        if (!it.isString()) {
            return failure(errc::invalid_argument, "'tasks' must hold texts only");
        }
        payloads.push_back(it.asString());
    }
    return payloads;
}

} // namespace

bool is_submission_id(std::string_view text)
{
    const auto dot = text.find('.');
    return dot != std::string_view::npos && dot > 0 && dot + 1 < text.size() &&
           text.size() <= max_submission_id_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '~' || c == '.';
           });
}

result<submission_request> parse_submission(std::string_view body, bool single,
                                            const deployment& settings)
{
    auto root = parse_json(body);
    if (!root) {
        return root.error();
    }
    const Json::Value& fields = root.value();
    if (!fields.isObject()) {
        return failure(errc::invalid_argument, "the body must be a JSON object");
    }
    for (const auto& name : fields.getMemberNames()) {
        if (name != "id" && name != "customer" && name != "kind" && name != "deadline_ms" &&
            name != (single ? "payload" : "tasks")) {
            return failure(errc::invalid_argument, fmt::format("unknown field '{}'", name));
        }
    }
    submission_request request;
    auto id = parse_string(fields, "id", max_submission_id_length);
    if (!id) {
        return id.error();
    }
    request.id = std::move(id).value();
    if (!is_submission_id(request.id)) {
        return failure(errc::invalid_argument,
                       "'id' must be a prefix of an instance, a dot, and a suffix of letters, "
                       "digits, '-', '_', '~' or '.'");
    }
    auto customer = parse_string(fields, "customer", max_name_length);
    if (!customer) {
        return customer.error();
    }
    request.customer = std::move(customer).value();
    auto kind = parse_string(fields, "kind", max_name_length);
    if (!kind) {
        return kind.error();
    }
    request.kind = std::move(kind).value();
    auto payloads = parse_tasks(fields, single, settings);
    if (!payloads) {
        return payloads.error();
    }
    request.payloads = std::move(payloads).value();
    auto deadline = parse_deadline(fields, request.kind, settings);
    if (!deadline) {
        return deadline.error();
    }
    request.deadline = deadline.value();
    return request;
}

std::string format_answer(std::string_view id, const job_answer& answer, bool single)
{
    Json::Value root(Json::objectValue);
    root["id"] = to_json(id);
    root["state"] = to_string(answer.state);
    root["reason"] = answer.reason;
    if (answer.state == job_state::completed) {
        if (single && answer.answers.size() == 1) {
            root["answer"] = answer.answers.front();
        }
        else {
            Json::Value list(Json::arrayValue);
            for (const auto& it : answer.answers) {
                list.append(it);
            }
            root["answers"] = std::move(list);
        }
    }
    return write_json(root);
}

std::string format_status(std::string_view id, const job_status& status)
{
    Json::Value root(Json::objectValue);
    root["id"] = to_json(id);
    root["state"] = to_string(status.state);
    root["reason"] = status.reason;
    root["tasks"] = Json::UInt64{status.tasks};
    root["started"] = Json::UInt64{status.started};
    root["finished"] = Json::UInt64{status.finished};
    return write_json(root);
}

std::string format_refusal(std::string_view id, const error& reason)
{
    Json::Value root(Json::objectValue);
    if (!id.empty()) {
        root["id"] = to_json(id);
    }
    root["state"] = to_string(state_of_refusal(reason.code));
    root["reason"] = reason.message;
    root["error"] = to_string(reason.code);
    return write_json(root);
}

job_state state_of_refusal(errc code)
{
    switch (code) {
    case errc::invalid_argument:
    case errc::unavailable:
    case errc::limit_exceeded:
    case errc::not_ready:
        return job_state::failed_not_run;
    default:
        // A conflict proves nothing about the first submission with this id; it may be running.
        return job_state::unknown;
    }
}

unsigned http_status_of(errc code)
{
    switch (code) {
    case errc::invalid_argument:
        return 400;
    case errc::not_found:
        return 404;
    case errc::conflict:
        return 409;
    case errc::limit_exceeded:
        return 413;
    case errc::unavailable:
    case errc::not_ready:
        return 503;
    case errc::timed_out:
        return 504;
    case errc::reply_lost:
        return 502;
    case errc::internal:
        return 500;
    }
    return 500;
}

} // namespace cactusloom
