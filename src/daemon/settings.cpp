#include "daemon/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <popt.h>
#include <vector>

namespace cactusloom {
namespace {

struct text_setting {
    const char* name;
    std::string daemon_settings::*value;
    const char* description;
};

struct number_setting {
    const char* name;
    int daemon_settings::*value;
    int minimum;
    int maximum;
    const char* description;
};

constexpr text_setting text_settings[] = {
    {"name", &daemon_settings::name, "name of this instance, unique in the deployment"},
    {"data-centre", &daemon_settings::data_centre, "data centre that this instance is in"},
    {"listen", &daemon_settings::listen, "ip:port to serve callers and peers on"},
    {"advertise", &daemon_settings::advertise, "ip:port that peers reach this instance on"},
    {"config", &daemon_settings::config, "TOML document to publish if the log holds none"},
    {"log-address", &daemon_settings::log_address, "ip:port of the platform's log service"},
    {"list-address", &daemon_settings::list_address, "ip:port of the platform's instance list"},
    {"worker-mode", &daemon_settings::worker_mode, "http, embedded or auto"},
    {"id-key", &daemon_settings::id_key, "key of submission ids, the same for all instances"},
};

constexpr number_setting number_settings[] = {
    {"shutdown-seconds", &daemon_settings::shutdown_seconds, 1, 3600,
     "longest time that a shutdown waits for running tasks"},
    {"max-connections", &daemon_settings::max_connections, 1, 60000,
     "connections that callers and peers may have open"},
};

std::string to_variable(std::string_view name)
{
    std::string buf = "CACTUSLOOM_";
    for (const char c : name) {
        buf.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
    }
    return buf;
}

result<int> to_number(const number_setting& setting, std::string_view text)
{
    int value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size() || value < setting.minimum ||
        value > setting.maximum) {
        return failure(errc::invalid_argument,
                       fmt::format("--{} must be a whole number from {} to {}", setting.name,
                                   setting.minimum, setting.maximum));
    }
    return value;
}

struct context_free {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

std::string make_help(poptContext context)
{
    char* buf = nullptr;
    std::size_t size = 0;
    std::FILE* out = open_memstream(&buf, &size);
    if (out == nullptr) {
        return "";
    }
    poptPrintHelp(context, out, 0);
    (void)std::fclose(out);
    std::string text(buf, size);
    std::free(buf); // NOLINT: open_memstream allocates with malloc
    return text + "\nEach flag --some-name can be set by the environment variable "
                  "CACTUSLOOM_SOME_NAME; the flag wins.\n";
}

} // namespace

result<daemon_settings> read_daemon_settings(int argc, const char** argv)
{
    constexpr int first_text = 100;
    constexpr int first_number = 200;
    constexpr int help_flag = 1;
    constexpr int version_flag = 2;
    daemon_settings found;
    std::vector<poptOption> options;
    for (std::size_t n = 0; n < std::size(text_settings); ++n) {
        const auto& it = text_settings[n];
        if (const char* text = std::getenv(to_variable(it.name).c_str())) {
            found.*it.value = text;
        }
        options.push_back({it.name, '\0', POPT_ARG_STRING, nullptr,
                           first_text + static_cast<int>(n), it.description, "TEXT"});
    }
    for (std::size_t n = 0; n < std::size(number_settings); ++n) {
        const auto& it = number_settings[n];
        if (const char* text = std::getenv(to_variable(it.name).c_str())) {
            const auto value = to_number(it, text);
            if (!value) {
                return value.error();
            }
            found.*it.value = value.value();
        }
        options.push_back({it.name, '\0', POPT_ARG_STRING, nullptr,
                           first_number + static_cast<int>(n), it.description, "NUMBER"});
    }
    options.push_back({"version", '\0', POPT_ARG_NONE, nullptr, version_flag,
                       "print the version and exit", nullptr});
    options.push_back(
        {"help", '?', POPT_ARG_NONE, nullptr, help_flag, "print this text and exit", nullptr});
    options.push_back(POPT_TABLEEND);

    const std::unique_ptr<std::remove_pointer_t<poptContext>, context_free> context(
        poptGetContext("cactusloomd", argc, argv, options.data(), 0));
    int next = 0;
    while ((next = poptGetNextOpt(context.get())) > 0) {
        if (next == help_flag) {
            found.help = true;
            found.help_text = make_help(context.get());
            continue;
        }
        if (next == version_flag) {
            found.version = true;
            continue;
        }
        char* argument = poptGetOptArg(context.get());
        const std::string text = argument == nullptr ? "" : argument;
        std::free(argument); // NOLINT: popt allocates with malloc
        if (next >= first_number) {
            const auto& it = number_settings[next - first_number];
            const auto value = to_number(it, text);
            if (!value) {
                return value.error();
            }
            found.*it.value = value.value();
        }
        else {
            found.*text_settings[next - first_text].value = text;
        }
    }
    if (next < -1) {
        return failure(errc::invalid_argument,
                       fmt::format("{}: {}", poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                                   poptStrerror(next)));
    }
    if (const char* unexpected = poptGetArg(context.get())) {
        return failure(errc::invalid_argument, fmt::format("unexpected argument '{}'", unexpected));
    }
    return found;
}

} // namespace cactusloom
