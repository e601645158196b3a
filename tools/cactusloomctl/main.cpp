#include "command.h"

#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <popt.h>

using namespace cactusloom::ctl;

namespace {

struct subcommand {
    const char* name;
    int (*run)(const options&);
    const char* usage;
};

constexpr subcommand subcommands[] = {
    {"submit", run_submit,
     "submit --customer ID --kind KIND [--id ID] [--deadline-ms N] PAYLOAD...\n"
     "                      one payload is a request, several are a job"},
    {"job", run_job,
     "job [--wait-ms N] [answer|cancel] ID\n"
     "                      state of a submission, its answer, or its cancellation"},
    {"status", run_status, "status                state of an instance"},
    {"ready", run_ready, "ready                 whether an instance takes new callers"},
    {"prefix", run_prefix, "prefix                a prefix for submission ids"},
    {"config", run_config,
     "config check FILE     find the faults of a document\n"
     "  config show [--section NAME]\n"
     "                      the document in force\n"
     "  config diff FILE      what a file would change\n"
     "  config publish --author TEAM --section NAME FILE\n"
     "                      replace the section by the one in the file\n"
     "  config history        changes of the document, with their verdicts"},
    {"account", run_account,
     "account --customer ID [--log-address IP:PORT [--archive FILE]]\n"
     "                      every request of a customer, from an instance, or from the log and\n"
     "                      an archive\n"
     "  account export --log-address IP:PORT --archive FILE\n"
     "                      append what the log retains to an archive"},
};

constexpr const char* exit_codes = "Exit codes:\n"
                                   "  0  done; the answer is complete\n"
                                   "  1  the answer is a failure, or a check found problems\n"
                                   "  2  wrong arguments\n"
                                   "  3  the outcome is unknown; check before using a new id\n"
                                   "  4  no instance reached; nothing was submitted\n";

struct context_free {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

struct text_flag {
    const char* name;
    std::string options::*value;
    const char* description;
};

constexpr text_flag text_flags[] = {
    {"address", &options::address, "ip:port of an instance (CACTUSLOOM_ADDRESS)"},
    {"customer", &options::customer, "member or shop"},
    {"kind", &options::kind, "request kind"},
    {"id", &options::id, "submission id; a new one is made if it is missing"},
    {"section", &options::section, "section of the document"},
    {"author", &options::author, "team that edits the document"},
    {"log-address", &options::log_address, "ip:port of the platform's log"},
    {"archive", &options::archive, "archive file of account records"},
};

int run(const options& given, const char* name)
{
    for (const auto& it : subcommands) {
        if (std::string_view(it.name) == name) {
            return it.run(given);
        }
    }
    fmt::print(stderr, "cactusloomctl: unknown command '{}'\n", name);
    return exit_usage;
}

} // namespace

int main(int argc, const char** argv)
{
    options given;
    if (const char* address = std::getenv("CACTUSLOOM_ADDRESS")) {
        given.address = address;
    }
    int help = 0;
    int version = 0;
    int json = 0;
    std::vector<poptOption> table;
    for (std::size_t n = 0; n < std::size(text_flags); ++n) {
        table.push_back({text_flags[n].name, '\0', POPT_ARG_STRING, nullptr,
                         static_cast<int>(n) + 1, text_flags[n].description, "TEXT"});
    }
    table.push_back({"deadline-ms", '\0', POPT_ARG_INT, &given.deadline_ms, 0,
                     "deadline of a request", "NUMBER"});
    table.push_back(
        {"wait-ms", '\0', POPT_ARG_INT, &given.wait_ms, 0, "longest wait for an answer", "NUMBER"});
    table.push_back({"tries", '\0', POPT_ARG_INT, &given.tries, 0,
                     "submissions under one id when connections are lost", "NUMBER"});
    table.push_back({"json", '\0', POPT_ARG_NONE, &json, 0, "print replies as JSON", nullptr});
    table.push_back({"version", '\0', POPT_ARG_NONE, &version, 0, "print the version", nullptr});
    table.push_back({"help", '?', POPT_ARG_NONE, &help, 0, "print this text", nullptr});
    table.push_back(POPT_TABLEEND);
    const std::unique_ptr<std::remove_pointer_t<poptContext>, context_free> context(
        poptGetContext("cactusloomctl", argc, argv, table.data(), 0));
    poptSetOtherOptionHelp(context.get(), "[flags] COMMAND [flags] [arguments]");
    int next = 0;
    while ((next = poptGetNextOpt(context.get())) > 0) {
        char* argument = poptGetOptArg(context.get());
        given.*text_flags[next - 1].value = argument == nullptr ? "" : argument;
        std::free(argument); // NOLINT: popt allocates with malloc
    }
    if (next < -1) {
        fmt::print(stderr, "cactusloomctl: {}: {}\n",
                   poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(next));
        return exit_usage;
    }
    if (help != 0) {
        poptPrintHelp(context.get(), stdout, 0);
        fmt::print("\nCommands:\n");
        for (const auto& it : subcommands) {
            fmt::print("  {}\n", it.usage);
        }
        fmt::print("\n{}", exit_codes);
        return exit_ok;
    }
    if (version != 0) {
        fmt::print("cactusloomctl {}\n", CACTUSLOOM_VERSION);
        return exit_ok;
    }
    given.json = json != 0;
    const char* name = poptGetArg(context.get());
    if (name == nullptr) {
        fmt::print(stderr, "cactusloomctl: a command is needed; try --help\n");
        return exit_usage;
    }
    while (const char* argument = poptGetArg(context.get())) {
        given.arguments.emplace_back(argument);
    }
    return run(given, name);
}
