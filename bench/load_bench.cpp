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

    closed_loop(const options& given, timer_service& timers, request send)
        : given_(given), timers_(timers), send_(std::move(send))
    {
    }

    void run()
    {
        for (int n = 0; n < given_.callers; ++n) {
            next();
        }
        while (ended_ < given_.warm_up + given_.requests) {
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    std::string row(std::string_view name)
    {
        std::sort(times_.begin(), times_.end());
        const double seconds = static_cast<double>((last_ - first_).count()) / 1e6;
        return fmt::format("| {} | {} | {} | {:.0f} | {:.2f} | {:.2f} | {} |", name, given_.callers,
                           given_.tasks, static_cast<double>(given_.requests) / seconds,
                           quantile(0.5), quantile(0.99), failures_);
    }

private:
    double quantile(double part) const
    {
        const auto place = static_cast<std::size_t>(part * static_cast<double>(times_.size() - 1));
        return static_cast<double>(times_[place].count()) / 1e3;
    }

    void next()
    {
        if (sent_ >= given_.warm_up + given_.requests) {
            return;
        }
        const int number = sent_++;
        const auto begin = timers_.monotonic_now();
        send_(number, [this, begin](bool good) {
            const auto now = timers_.monotonic_now();
            if (++ended_ == given_.warm_up) {
                first_ = now;
            }
            if (ended_ > given_.warm_up) {
                times_.push_back(now - begin);
                failures_ += good ? 0 : 1;
            }
            last_ = now;
            next();
        });
    }

    options given_;
    timer_service& timers_;
    request send_;
    int sent_ = 0;
    int ended_ = 0;
    int failures_ = 0;
    monotonic_time first_;
    monotonic_time last_;
    std::vector<duration> times_;
};

std::string make_body(const options& given, const std::string& id)
{
    if (given.tasks == 1) {
        return fmt::format(R"({{"id":"{}","customer":"{}","kind":"{}","payload":"x"}})", id,
                           given.customer, given.kind);
    }
    std::string list;
    for (int n = 0; n < given.tasks; ++n) {
        list += n == 0 ? "\"x\"" : ",\"x\"";
    }
    return fmt::format(R"({{"id":"{}","customer":"{}","kind":"{}","tasks":[{}]}})", id,
                       given.customer, given.kind, list);
}

void run_against_instance(const options& given, timer_service& timers)
{
    http_client client(timers, {});
    std::string prefix;
    http_call first;
    first.address = given.address;
    first.target = "/v1/prefix";
    client.send(first, [&](const http_reply& reply) {
        prefix = reply.end == http_outcome::replied ? reply.header("Cactusloom-Id-Prefix") : "none";
    });
    while (prefix.empty()) {
        g_main_context_iteration(nullptr, TRUE);
    }
    closed_loop load(given, timers, [&](int number, const std::function<void(bool)>& done) {
        http_call call;
        call.method = "POST";
        call.address = given.address;
        call.target = given.tasks == 1 ? "/v1/requests?wait_ms=10000" : "/v1/jobs?wait_ms=10000";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = make_body(given, fmt::format("{}.b{}", prefix, number));
        client.send(call, [&prefix, done](const http_reply& reply) {
            const bool good = reply.end == http_outcome::replied && reply.status == 200 &&
                              reply.body.find("\"completed\"") != std::string::npos;
            if (good) {
                prefix =
                    reply.header("Cactusloom-Id-Prefix"); // as callers do; needs no extra message
            }
            done(good);
        });
    });
    load.run();
    fmt::print("{}\n", load.row("through an instance"));
}

void run_against_workers(const options& given, timer_service& timers)
{
    std::vector<worker_settings> workers;
    std::istringstream list(given.workers);
    for (std::string address; std::getline(list, address, ',');) {
        workers.emplace_back().address = address;
    }
    http_worker_client client(timers, workers);
    closed_loop load(given, timers, [&](int number, const std::function<void(bool)>& done) {
        const std::string id = fmt::format("direct-{}", number);
        const start_request request{id, given.kind, "x", std::chrono::seconds{5},
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
    options given;
    if (!read_options(argc, argv, given)) {
        fmt::print(stderr, "load_bench: give either --address or --workers; try --help\n");
        return 2;
    }
    glib_timer_service timers;
    if (given.workers.empty()) {
        run_against_instance(given, timers);
    }
    else {
        run_against_workers(given, timers);
    }
    return 0;
}
