#include "command.h"
#include "http/json_text.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace cactusloom::ctl {

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        fmt::print(stderr, "cactusloomctl: cannot read '{}'\n", path);
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

int print_resource(const options& given, const std::string& target)
{
    http_call call;
    call.address = given.address;
    call.target = target;
    const auto answer = exchange(call);
    if (answer.end != http_outcome::replied) {
        fmt::print(stderr, "cactusloomctl: no reply from {}: {}\n", given.address, answer.reason);
        return exit_unreachable;
    }
    print_reply(answer.body, given.json);
    return answer.status == 200 ? exit_ok : exit_failed;
}

int run_status(const options& given)
{
    return print_resource(given, "/v1/status");
}

int run_ready(const options& given)
{
    return print_resource(given, "/v1/ready");
}

int run_prefix(const options& given)
{
    http_call call;
    call.address = given.address;
    call.target = "/v1/prefix";
    const auto answer = exchange(call);
    if (answer.end != http_outcome::replied || answer.id_prefix.empty()) {
        fmt::print(stderr, "prefix: no reply from {}: {}\n", given.address, answer.reason);
        return exit_unreachable;
    }
    fmt::print("{}\n", answer.id_prefix);
    return exit_ok;
}

int run_job(const options& given)
{
    if (given.arguments.empty() || given.arguments.size() > 2) {
        fmt::print(stderr, "job: give [answer|cancel] and one id\n");
        return exit_usage;
    }
    const std::string& id = given.arguments.back();
    const std::string action = given.arguments.size() == 2 ? given.arguments.front() : "";
    if (!action.empty() && action != "answer" && action != "cancel") {
        fmt::print(stderr, "job: '{}' is neither answer nor cancel\n", action);
        return exit_usage;
    }
    http_call call;
    call.method = action == "cancel" ? "DELETE" : "GET";
    call.address = given.address;
    call.target = action == "answer"
                      ? fmt::format("/v1/jobs/{}/answer?wait_ms={}", id, given.wait_ms)
                      : fmt::format("/v1/jobs/{}", id);
    call.limit += std::chrono::milliseconds{given.wait_ms};
    const auto answer = exchange(call);
    if (answer.end != http_outcome::replied) {
        fmt::print(stderr, "job: no reply from {}: {}\n", given.address, answer.reason);
        return exit_unreachable;
    }
    print_reply(answer.body, given.json);
    const auto root = parse_json(answer.body);
    const std::string state =
        root && root.value().isObject() ? root.value()["state"].asString() : "unknown";
    if (state == "unknown") {
        return exit_unknown;
    }
    return answer.status < 300 && !state.starts_with("failed") ? exit_ok : exit_failed;
}

} // namespace cactusloom::ctl
