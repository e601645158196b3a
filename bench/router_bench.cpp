// Measures the cost of a routing decision with its start and end, and counts its allocations.
#include "base/clock.h"
#include "routing/router.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdlib>
#include <new>
#include <string>

namespace {

std::size_t allocations = 0;

} // namespace

// Not inlined, since GCC would warn about malloc() and delete as a mismatched pair.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocations;
    if (void* const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace cactusloom {
namespace {

constexpr std::array<const char*, 6> strategies{
    "random",      "round_robin",        "fewest_outstanding",
    "two_choices", "two_choices_finish", "predicted_finish"};

class manual_clock final : public clock {
public:
    monotonic_time monotonic_now() const override { return now; }
    wall_time wall_now() const override { return {}; }

    monotonic_time now{};
};

deployment make_deployment(const char* strategy, std::size_t workers)
{
    deployment made;
    made.profile.routing = strategy;
    made.kinds.resize(3);
    for (std::size_t i = 0; i < workers; ++i) {
        worker_settings worker;
        worker.name = std::to_string(i);
        worker.rack = std::to_string(i / 8);
        worker.slots = 8;
        made.workers.push_back(worker);
    }
    return made;
}

// One pick, start and end at 80 % utilisation of the instance's share of the slots.
void decide(benchmark::State& state)
{
    const auto workers = static_cast<std::size_t>(state.range(1));
    manual_clock time;
    const auto task_router = router::make(
        make_deployment(strategies.at(static_cast<std::size_t>(state.range(0))), workers), time,
        {.seed = 1, .share = 1.0 / 9});
    std::vector<worker_id> running(workers * 7 / 10);
    const auto start = [&](std::uint64_t job) {
        const auto worker =
            task_router->pick({.kind = static_cast<kind_index>(job % 3), .job_key = job / 8});
        if (!worker) {
            state.SkipWithError("no worker has room");
            return worker_id{0};
        }
        task_router->record_start(*worker, 0);
        return *worker;
    };
    start_reply reply;
    reply.status = start_status::completed;
    reply.load = {.running = 6, .queued = 0, .leaving = false};
    reply.has_load = true;
    std::uint64_t job = 0;
    for (worker_id& it : running) {
        it = start(++job);
    }
    std::size_t oldest = 0;
    const std::size_t before = allocations;
    for (auto _ : state) { // NOLINT(clang-analyzer-deadcode.DeadStores)
        time.now += duration{1000};
        reply.run_time = duration{100'000 + static_cast<std::int64_t>(job % 97) * 5'000};
        task_router->record_end(running[oldest], 0, reply, reply.run_time);
        running[oldest] = start(++job);
        oldest = oldest + 1 < running.size() ? oldest + 1 : 0;
    }
    state.counters["allocations"] = static_cast<double>(allocations - before);
    state.SetLabel(strategies.at(static_cast<std::size_t>(state.range(0))));
}

// A pick alone, without the model updates of a reply.
void pick_only(benchmark::State& state)
{
    const auto workers = static_cast<std::size_t>(state.range(1));
    manual_clock time;
    const auto task_router = router::make(
        make_deployment(strategies.at(static_cast<std::size_t>(state.range(0))), workers), time,
        {.seed = 1, .share = 1.0 / 9});
    std::uint64_t job = 0;
    for (auto _ : state) { // NOLINT(clang-analyzer-deadcode.DeadStores)
        time.now += duration{1000};
        ++job;
        benchmark::DoNotOptimize(task_router->pick({.kind = 0, .job_key = job / 8}));
    }
    state.SetLabel(strategies.at(static_cast<std::size_t>(state.range(0))));
}

BENCHMARK(decide)->ArgsProduct({{0, 1, 2, 3, 4, 5}, {50, 1000}});
BENCHMARK(pick_only)->ArgsProduct({{0, 1, 2, 3, 4, 5}, {50, 1000}});

} // namespace
} // namespace cactusloom

BENCHMARK_MAIN();
