// Load generator: a closed loop of callers against an instance or, for comparison, directly against
// workers. Prints one table row. Run by tools/bench_sockets.
#include "base/glib_timer_service.h"
#include "config/deployment.h"
#include "http/http_client.h"
#include "http/http_worker_client.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <glib.h>
#include <popt.h>
#include <sstream>
#include <string>
#include <vector>

using namespace cactusloom;

namespace {

struct options {
    std::string address; // of the instance
    std::string workers; // "ip:port,...", to call directly instead
    std::string customer = "demo";
    std::string kind = "stock_confirm";
    int callers = 32;
    int tasks = 1;
    int warm_up = 500;
    int requests = 10000;
};

bool read_options(int argc, const char** argv, options& into)
{
    const poptOption table[] = {
        {"address", '\0', POPT_ARG_STRING, nullptr, 1, "ip:port of an instance", "TEXT"},
        {"workers", '\0', POPT_ARG_STRING, nullptr, 2, "ip:port,... to call directly", "TEXT"},
        {"callers", '\0', POPT_ARG_INT, &into.callers, 0, "requests open at once", "NUMBER"},
        {"tasks", '\0', POPT_ARG_INT, &into.tasks, 0, "tasks of a request", "NUMBER"},
        {"requests", '\0', POPT_ARG_INT, &into.requests, 0, "requests in all", "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("load_bench", argc, argv, table, 0);
    int next = 0;
    while ((next = poptGetNextOpt(context)) > 0) {
        char* text = poptGetOptArg(context);
        (next == 1 ? into.address : into.workers) = text == nullptr ? "" : text;
        std::free(text); // NOLINT: popt allocates with malloc
    }
    poptFreeContext(context);
    return next == -1 && (into.address.empty() != into.workers.empty());
}

// Keeps a fixed number of requests open until enough have ended, and times each one.
class closed_loop {
public:
    using request = std::function<void(int number, std::function<void(bool)> done)>;

    closed_loop(const options& settings, timer_service& timers, request send)
        : settings_(settings), timers_(timers), send_(std::move(send))
    {
    }

    void run()
    {
        for (int n = 0; n < settings_.callers; ++n) {
            next();
        }
        while (ended_ < settings_.warm_up + settings_.requests) {
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    std::string row(std::string_view name)
    {
        std::sort(times_.begin(), times_.end());
        const double seconds = static_cast<double>((last_ - first_).count()) / 1e6;
        return fmt::format("| {} | {} | {} | {:.0f} | {:.2f} | {:.2f} | {} |", name,
                           settings_.callers, settings_.tasks,
                           static_cast<double>(settings_.requests) / seconds, quantile(0.5),
                           quantile(0.99), failures_);
    }

private:
    double quantile(double part) const
    {
        const auto position =
            static_cast<std::size_t>(part * static_cast<double>(times_.size() - 1));
        return static_cast<double>(times_[position].count()) / 1e3;
    }

    void next()
    {
        if (sent_ >= settings_.warm_up + settings_.requests) {
            return;
        }
        const int number = sent_++;
        const auto begin = timers_.monotonic_now();
        send_(number, [this, begin](bool succeeded) {
            const auto now = timers_.monotonic_now();
            if (++ended_ == settings_.warm_up) {
                first_ = now;
            }
            if (ended_ > settings_.warm_up) {
                times_.push_back(now - begin);
                failures_ += succeeded ? 0 : 1;
            }
            last_ = now;
            next();
        });
    }

    options settings_;
    timer_service& timers_;
    request send_;
    int sent_ = 0;
    int ended_ = 0;
    int failures_ = 0;
    monotonic_time first_;
    monotonic_time last_;
    std::vector<duration> times_;
};

std::string make_body(const options& settings, const std::string& id)
{
    if (settings.tasks == 1) {
        return fmt::format(R"({{"id":"{}","customer":"{}","kind":"{}","payload":"x"}})", id,
                           settings.customer, settings.kind);
    }
    std::string list;
    for (int n = 0; n < settings.tasks; ++n) {
        list += n == 0 ? "\"x\"" : ",\"x\"";
    }
    return fmt::format(R"({{"id":"{}","customer":"{}","kind":"{}","tasks":[{}]}})", id,
                       settings.customer, settings.kind, list);
}

void run_against_instance(const options& settings, timer_service& timers)
{
    http_client client(timers, {});
    std::string prefix;
    http_call first;
    first.address = settings.address;
    first.target = "/v1/prefix";
    client.send(first, [&](const http_reply& reply) {
        prefix = reply.end == http_outcome::replied ? reply.header("Cactusloom-Id-Prefix") : "none";
    });
    while (prefix.empty()) {
        g_main_context_iteration(nullptr, TRUE);
    }
    closed_loop load(settings, timers, [&](int number, const std::function<void(bool)>& done) {
        http_call call;
        call.method = "POST";
        call.address = settings.address;
        call.target = settings.tasks == 1 ? "/v1/requests?wait_ms=10000" : "/v1/jobs?wait_ms=10000";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = make_body(settings, fmt::format("{}.b{}", prefix, number));
        client.send(call, [&prefix, done](const http_reply& reply) {
            const bool succeeded = reply.end == http_outcome::replied && reply.status == 200 &&
                                   reply.body.find("\"completed\"") != std::string::npos;
            if (succeeded) {
                prefix =
                    reply.header("Cactusloom-Id-Prefix"); // as callers do; needs no extra message
            }
            done(succeeded);
        });
    });
    load.run();
    fmt::print("{}\n", load.row("through an instance"));
}

void run_against_workers(const options& settings, timer_service& timers)
{
    std::vector<worker_settings> workers;
    std::istringstream list(settings.workers);
    for (std::string address; std::getline(list, address, ',');) {
        workers.emplace_back().address = address;
    }
    http_worker_client client(timers, workers);
    closed_loop load(settings, timers, [&](int number, const std::function<void(bool)>& done) {
        const std::string id = fmt::format("direct-{}", number);
        const start_request request{id, settings.kind, "x", std::chrono::seconds{5},
                                    std::chrono::seconds{10}};
        client.start(
            static_cast<worker_id>(number) % static_cast<worker_id>(workers.size()), request,
            [done](const start_reply& reply) { done(reply.status == start_status::completed); });
    });
    load.run();
    fmt::print("{}\n", load.row("worker directly"));
}

} // namespace

int main(int argc, const char** argv)
{
    options settings;
    if (!read_options(argc, argv, settings)) {
        fmt::print(stderr, "load_bench: give either --address or --workers; try --help\n");
        return 2;
    }
    glib_timer_service timers;
    if (settings.workers.empty()) {
        run_against_instance(settings, timers);
    }
    else {
        run_against_workers(settings, timers);
    }
    return 0;
}
