#include "account/account_reader.h"
#include "base/glib_timer_service.h"
#include "command.h"
#include "http/http_log_service.h"
#include "http/json_text.h"
#include "http/worker_codec.h"

#include <fmt/format.h>
#include <glib.h>

namespace cactusloom::ctl {
namespace {

// Calls `start` with a callback and runs the event loop until the callback has received a result.
template<typename T, typename Start>
result<T> wait_for(Start start)
{
    std::optional<result<T>> found;
    start([&found](result<T> it) { found = std::move(it); });
    while (!found) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*found);
}

int export_log(const options& given)
{
    if (given.log_address.empty() || given.archive.empty()) {
        fmt::print(stderr, "account export: --log-address and --archive are needed\n");
        return exit_usage;
    }
    auto archive = account_archive::open(given.archive, account_archive::mode::append);
    if (!archive) {
        fmt::print(stderr, "account export: {}\n", archive.error().message);
        return exit_failed;
    }
    glib_timer_service timers;
    http_log_service log(timers, given.log_address);
    const auto done = wait_for<account_export>(
        [&](auto callback) { export_account(log, *archive.value(), std::move(callback)); });
    if (!done) {
        fmt::print(stderr, "account export: {}\n", done.error().message);
        return exit_failed;
    }
    Json::Value root(Json::objectValue);
    root["exported"] = Json::UInt64{done.value().exported};
    root["missed"] = Json::UInt64{done.value().missed};
    root["reached"] = Json::UInt64{done.value().reached};
    print_reply(write_json(root), given.json);
    return done.value().missed == 0 ? exit_ok : exit_failed;
}

// Reads log and archive directly, so that no instance is needed.
int read_log(const options& given)
{
    std::unique_ptr<account_archive> archive;
    if (!given.archive.empty()) {
        auto opened = account_archive::open(given.archive, account_archive::mode::read);
        if (!opened) {
            fmt::print(stderr, "account: {}\n", opened.error().message);
            return exit_failed;
        }
        archive = std::move(opened).value();
    }
    glib_timer_service timers;
    http_log_service log(timers, given.log_address);
    const auto found = wait_for<account_statement>([&](auto callback) {
        read_account(log, timers, archive.get(), given.customer, std::move(callback));
    });
    if (!found) {
        fmt::print(stderr, "account: {}\n", found.error().message);
        return exit_failed;
    }
    fmt::print("{}", to_text(found.value()));
    return found.value().is_complete() ? exit_ok : exit_failed;
}

} // namespace

int run_account(const options& given)
{
    if (given.arguments.size() == 1 && given.arguments.front() == "export") {
        return export_log(given);
    }
    if (!given.arguments.empty() || given.customer.empty()) {
        fmt::print(stderr, "account: --customer is needed\n");
        return exit_usage;
    }
    if (!given.log_address.empty()) {
        return read_log(given);
    }
    if (!given.archive.empty()) {
        fmt::print(stderr, "account: --archive needs --log-address\n");
        return exit_usage;
    }
    http_call call;
    call.address = given.address;
    call.target = "/v1/accounts/" + percent_encode(given.customer);
    const auto answer = exchange(call);
    if (answer.end != http_outcome::replied) {
        fmt::print(stderr, "account: no reply from {}: {}\n", given.address, answer.reason);
        return exit_unreachable;
    }
    const auto root = parse_json(answer.body);
    if (answer.status != 200 || !root || !root.value().isObject()) {
        print_reply(answer.body, given.json);
        return exit_failed;
    }
    if (given.json) {
        print_reply(answer.body, true);
    }
    else {
        fmt::print("{}", root.value()["text"].asString());
    }
    return root.value()["complete"].asBool() ? exit_ok : exit_failed;
}

} // namespace cactusloom::ctl
