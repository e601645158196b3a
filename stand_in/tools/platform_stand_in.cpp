// Serves a log, an instance list and workers on loopback ports, for tests and benchmarks.
#include "base/glib_timer_service.h"
#include "stand_in/memory_instance_list.h"
#include "stand_in/memory_log.h"
#include "stand_in/platform_stand_in_server.h"
#include "stand_in/worker_stand_in_server.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <glib.h>
#include <popt.h>
#include <vector>

using namespace cactusloom;

namespace {

struct flags {
    std::string listen = "127.0.0.1:0";
    std::string instances; // "name=data_centre=ip:port,..."
    int workers = 0;
    int slots = 8;
    int queue = 16;
    int run_time_us = 1000;
};

std::vector<std::string> split(const std::string& text, char at)
{
    std::vector<std::string> found;
    std::size_t from = 0;
    while (from < text.size()) {
        const auto end = std::min(text.find(at, from), text.size());
        found.push_back(text.substr(from, end - from));
        from = end + 1;
    }
    return found;
}

bool read_flags(int argc, const char** argv, flags& into)
{
    const poptOption table[] = {
        {"listen", '\0', POPT_ARG_STRING, nullptr, 1, "ip:port of the log and the list", "TEXT"},
        {"instances", '\0', POPT_ARG_STRING, nullptr, 2, "name=data_centre=ip:port,...", "TEXT"},
        {"workers", '\0', POPT_ARG_INT, &into.workers, 0, "number of workers", "NUMBER"},
        {"slots", '\0', POPT_ARG_INT, &into.slots, 0, "slots of each worker", "NUMBER"},
        {"queue", '\0', POPT_ARG_INT, &into.queue, 0, "queue of each worker", "NUMBER"},
        {"run-time-us", '\0', POPT_ARG_INT, &into.run_time_us, 0, "run time of a task", "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("platform_stand_in", argc, argv, table, 0);
    int next = 0;
    while ((next = poptGetNextOpt(context)) > 0) {
        char* text = poptGetOptArg(context);
        (next == 1 ? into.listen : into.instances) = text == nullptr ? "" : text;
        std::free(text); // NOLINT: popt allocates with malloc
    }
    poptFreeContext(context);
    return next == -1;
}

} // namespace

int main(int argc, const char** argv)
{
    flags given;
    if (!read_flags(argc, argv, given)) {
        fmt::print(stderr, "platform_stand_in: wrong arguments; try --help\n");
        return 2;
    }
    (void)std::signal(SIGPIPE, SIG_IGN);
    glib_timer_service timers;
    memory_log log(timers);
    memory_instance_list list(timers);
    std::vector<listed_instance> instances;
    for (const auto& it : split(given.instances, ',')) {
        const auto fields = split(it, '=');
        if (fields.size() != 3) {
            fmt::print(stderr, "platform_stand_in: '{}' is not name=data_centre=ip:port\n", it);
            return 2;
        }
        instances.push_back({fields[0], fields[1], fields[2], false});
    }
    list.set_instances(std::move(instances));
    const auto server = platform_stand_in_server::listen(given.listen, timers, log, list);
    if (!server) {
        fmt::print(stderr, "platform_stand_in: {}\n", server.error().message);
        return 1;
    }
    worker_behaviour behaviour;
    behaviour.slots = static_cast<std::uint32_t>(given.slots);
    behaviour.max_queue = static_cast<std::uint32_t>(given.queue);
    behaviour.default_run_time = duration{given.run_time_us};
    std::vector<std::unique_ptr<worker_stand_in_server>> workers;
    for (int n = 0; n < given.workers; ++n) {
        auto worker = worker_stand_in_server::listen(
            "127.0.0.1:0", timers, std::make_shared<worker_stand_in>(timers, behaviour));
        if (!worker) {
            fmt::print(stderr, "platform_stand_in: {}\n", worker.error().message);
            return 1;
        }
        workers.push_back(std::move(worker).value());
    }
    // Scripts parse the addresses from these lines.
    fmt::print("platform {}\n", server.value()->address());
    for (const auto& it : workers) {
        fmt::print("worker {}\n", it->address());
    }
    (void)std::fflush(stdout);
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop); // until the process is killed
    return 0;
}
