// Compares the routing strategies with an ideal scheduler that has a single queue and complete,
// instantaneous knowledge. Runs in virtual time with fixed seeds, so the output is reproducible.
#include "ideal_scheduler.h"
#include "routing_simulation.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <span>
#include <string_view>

namespace cactusloom::bench {
namespace {

constexpr std::array<const char*, 6> strategies{
    "random",      "round_robin",        "fewest_outstanding",
    "two_choices", "two_choices_finish", "predicted_finish"};

// A dispatch profile as set by the deployments.
struct profile {
    const char* name;
    double message_budget;
};

constexpr std::array<profile, 2> profiles{{{"daak_dost", 2.2}, {"lough_tapioca", 2.02}}};

struct options {
    bool quick = false;
    std::string filter;
    std::string strategy;
    double length = 180;
    std::uint32_t seed = 1;
};

std::vector<scenario> make_scenarios(const options& chosen)
{
    std::vector<scenario> made;
    for (const bool jobs : {false, true}) {
        for (const std::uint32_t instances : {1U, 9U}) {
            for (const double load : {0.5, 0.8, 0.95}) {
                for (const double lag : {0.0, 0.2, 2.0}) {
                    scenario next;
                    next.name =
                        fmt::format("{}, {} instances, load {:.0f} %, lag {:.0f} ms",
                                    jobs ? "jobs" : "singles", instances, load * 100, lag * 1000);
                    next.jobs = jobs;
                    next.instances = instances;
                    next.load = load;
                    next.lag = lag;
                    const bool is_core = instances == 9 && lag == 0.2 && load > 0.6;
                    if (is_core || !chosen.quick) {
                        made.push_back(next);
                    }
                }
            }
        }
    }
    const std::array<std::pair<fault, const char*>, 6> faults{{
        {fault::straggler, "two workers 8 times slower"},
        {fault::failing_worker, "a worker fails everything"},
        {fault::lost_rack, "a rack is lost"},
        {fault::burst, "bursts of ten times, load 50 %"},
        {fault::cancellation, "half of all requests cancelled"},
        {fault::declared, "declared run times off by ten"},
    }};
    for (const auto& [kind, name] : faults) {
        scenario next;
        next.name = name;
        next.kind = kind;
        next.lag = 0.2;
        next.load = kind == fault::burst ? 0.5 : 0.8;
        next.jobs = kind == fault::cancellation;
        if (kind == fault::declared) {
            next.warm_up = 0; // measures the time before run times are learned
        }
        made.push_back(next);
    }
    std::erase_if(
        made, [&](const scenario& it) { return it.name.find(chosen.filter) == std::string::npos; });
    for (scenario& it : made) {
        it.length = chosen.quick ? std::min(chosen.length, 90.0) : chosen.length;
        it.seed = chosen.seed;
    }
    return made;
}

double quantile(std::span<const double> sorted, double part)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(last * part))];
}

struct summary {
    explicit summary(std::vector<double> values)
    {
        if (values.empty()) {
            return;
        }
        std::sort(values.begin(), values.end());
        for (const double value : values) {
            mean += value / static_cast<double>(values.size());
        }
        median = quantile(values, 0.5);
        p99 = quantile(values, 0.99);
        p999 = quantile(values, 0.999);
    }

    double mean = 0;
    double median = 0;
    double p99 = 0;
    double p999 = 0;
};

void print_scenario(const scenario& settings, const options& chosen)
{
    const workload_trace input = make_trace(settings);
    const summary ideal(ideal_scheduler(settings, input, 2 * one_way_latency).run().responses);
    fmt::print("| {} | ideal | {:.0f} ms | {:.0f} ms | {:.0f} ms | {:.0f} ms | 2 | | |\n",
               settings.name, ideal.mean * 1e3, ideal.median * 1e3, ideal.p99 * 1e3,
               ideal.p999 * 1e3);
    for (const char* strategy : strategies) {
        if (!chosen.strategy.empty() && chosen.strategy != strategy) {
            continue;
        }
        for (const profile& it : profiles) {
            const bool is_main = std::string_view(strategy) == "predicted_finish";
            if (!is_main && it.message_budget < 2.1) {
                continue; // the baselines ignore the message budget
            }
            const outcome result =
                routing_simulation(settings, input, strategy, it.message_budget).run();
            const summary measured(result.responses);
            const double touched = result.tasks_after_fault > 0
                                       ? 100 * result.late_fault_hits / result.tasks_after_fault
                                       : 0;
            fmt::print("| | {}{}{} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.0f} | {:.3f} "
                       "|\n",
                       strategy, is_main ? ", " : "", is_main ? it.name : "",
                       measured.mean / ideal.mean, measured.median / ideal.median,
                       measured.p99 / ideal.p99, measured.p999 / ideal.p999,
                       result.messages / std::max(result.tasks, 1.0), result.failed, touched);
            std::fflush(stdout);
        }
    }
}

int run(const options& chosen)
{
    fmt::print("Response times over the ideal's; the ideal's own in ms.\n\n"
               "| scenario | strategy | mean | p50 | p99 | p99.9 | messages a task | failed "
               "requests | tasks touched by the fault after 1 s, % |\n"
               "|---|---|---|---|---|---|---|---|---|\n");
    for (const scenario& it : make_scenarios(chosen)) {
        print_scenario(it, chosen);
    }
    return 0;
}

} // namespace
} // namespace cactusloom::bench

int main(int argc, const char** argv)
{
    int quick = 0;
    int seed = 1;
    double length = 180;
    char* filter = nullptr;
    char* strategy = nullptr;
    const std::array<poptOption, 7> table{{
        {"quick", 'q', POPT_ARG_NONE, &quick, 0, "a few scenarios with shorter runs", nullptr},
        {"filter", 'f', POPT_ARG_STRING, &filter, 0, "scenarios whose name contains TEXT", "TEXT"},
        {"strategy", 's', POPT_ARG_STRING, &strategy, 0, "only this strategy", "NAME"},
        {"length", 'l', POPT_ARG_DOUBLE, &length, 0, "measured virtual seconds", "SECONDS"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the trace and the routers", "N"},
        POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
    }};
    const poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
    const int code = poptGetNextOpt(context);
    if (code < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(code));
        poptFreeContext(context);
        return 2;
    }
    cactusloom::bench::options chosen;
    chosen.quick = quick != 0;
    chosen.filter = filter != nullptr ? filter : "";
    chosen.strategy = strategy != nullptr ? strategy : "";
    chosen.length = length;
    chosen.seed = static_cast<std::uint32_t>(seed);
    poptFreeContext(context);
    std::free(filter);
    std::free(strategy);
    return cactusloom::bench::run(chosen);
}
