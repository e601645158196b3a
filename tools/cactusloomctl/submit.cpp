#include "command.h"
#include "http/json_text.h"

#include <algorithm>
#include <fmt/format.h>
#include <glib.h>

namespace cactusloom::ctl {
namespace {

// Added to the deadline of the request for the timeout of the HTTP call.
constexpr duration reply_grace = std::chrono::seconds{5};
constexpr duration default_wait = std::chrono::seconds{65};
constexpr duration first_pause = std::chrono::milliseconds{100};

int to_exit_code(const std::string& state)
{
    if (state == "completed") {
        return exit_ok;
    }
    return state == "unknown" || state == "running" ? exit_unknown : exit_failed;
}

std::string random_suffix()
{
    return fmt::format("{:08x}{:08x}", g_random_int(), g_random_int());
}

std::string make_body(const options& given, const std::string& id)
{
    Json::Value root(Json::objectValue);
    root["id"] = id;
    root["customer"] = given.customer;
    root["kind"] = given.kind;
    if (given.deadline_ms != 0) {
        root["deadline_ms"] = given.deadline_ms;
    }
    if (given.arguments.size() == 1) {
        root["payload"] = given.arguments.front();
    }
    else {
        for (const auto& it : given.arguments) {
            root["tasks"].append(it);
        }
    }
    return write_json(root);
}

} // namespace

int run_submit(const options& given)
{
    if (given.customer.empty() || given.kind.empty() || given.arguments.empty()) {
        fmt::print(stderr, "submit: --customer, --kind and at least one payload are needed\n");
        return exit_usage;
    }
    std::string id = given.id;
    if (id.empty()) {
        http_call call;
        call.address = given.address;
        call.target = "/v1/prefix";
        const auto prefix = exchange(call);
        if (prefix.end != http_outcome::replied || prefix.id_prefix.empty()) {
            fmt::print(stderr, "submit: no prefix from {}: {}\n", given.address, prefix.reason);
            return exit_unreachable;
        }
        id = prefix.id_prefix + "." + random_suffix();
    }
    http_call call;
    call.method = "POST";
    call.address = given.address;
    const bool single = given.arguments.size() == 1;
    call.target = single ? "/v1/requests" : "/v1/jobs?wait_ms=3600000";
    call.body = make_body(given, id);
    call.limit = given.deadline_ms > 0
                     ? duration{std::chrono::milliseconds{given.deadline_ms}} + reply_grace
                     : default_wait;
    bool may_have_arrived = false;
    std::string last_reason;
    auto wait = first_pause;
    // Retries use the same id: the instance joins the running job or returns its answer.
    for (int n = 0; n < std::max(given.tries, 1); ++n) {
        if (n > 0) {
            pause(wait);
            wait *= 2;
        }
        const auto answer = exchange(call);
        if (answer.end == http_outcome::replied) {
            const auto root = parse_json(answer.body);
            if (!root || !root.value().isObject() || !root.value()["state"].isString()) {
                fmt::print(stderr, "submit: the reply has no job state: {}\n", answer.body);
                return exit_unknown;
            }
            const auto code = to_exit_code(root.value()["state"].asString());
            // Rejecting a retry does not rule out that an earlier request starts the job.
            if (code == exit_failed && may_have_arrived && answer.status >= 400) {
                Json::Value open = root.value();
                open["reason"] = "an earlier message got no reply; the repetition was refused: " +
                                 open["reason"].asString();
                open["state"] = "unknown";
                print_reply(write_json(open), given.json);
                return exit_unknown;
            }
            print_reply(answer.body, given.json);
            return code;
        }
        may_have_arrived = may_have_arrived || answer.end == http_outcome::reply_lost;
        last_reason = answer.reason;
    }
    // An id from the command line may have been submitted before.
    const bool is_known_not_run = !may_have_arrived && given.id.empty();
    Json::Value root(Json::objectValue);
    root["id"] = id;
    root["state"] = is_known_not_run ? "failed_not_run" : "unknown";
    root["reason"] = "no reply: " + last_reason;
    print_reply(write_json(root), given.json);
    return is_known_not_run ? exit_unreachable : exit_unknown;
}

} // namespace cactusloom::ctl
