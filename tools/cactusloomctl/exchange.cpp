#include "base/glib_timer_service.h"
#include "command.h"
#include "http/json_text.h"

#include <fmt/format.h>
#include <glib.h>

namespace cactusloom::ctl {
namespace {

void print_value(const std::string& name, const Json::Value& value)
{
    if (value.isObject()) {
        for (const auto& it : value.getMemberNames()) {
            print_value(name.empty() ? it : fmt::format("{}.{}", name, it), value[it]);
        }
    }
    else if (value.isArray()) {
        for (Json::ArrayIndex n = 0; n < value.size(); ++n) {
            print_value(fmt::format("{}[{}]", name, n), value[n]);
        }
    }
    else {
        fmt::print("{}: {}\n", name, value.isString() ? value.asString() : write_json(value));
    }
}

} // namespace

reply exchange(const http_call& call)
{
    glib_timer_service timers;
    http_client client(timers, {});
    reply found;
    bool done = false;
    client.send(call, [&](const http_reply& it) {
        found = {it.end, it.status, it.body, it.reason, it.header("Cactusloom-Id-Prefix")};
        done = true;
    });
    while (!done) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return found;
}

void pause(duration span)
{
    g_usleep(static_cast<gulong>(span.count()));
}

void print_reply(const std::string& body, bool json)
{
    const auto root = parse_json(body);
    if (json || !root) {
        fmt::print("{}\n", body);
        return;
    }
    print_value("", root.value());
}

} // namespace cactusloom::ctl
