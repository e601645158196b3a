#include "dispatch/dispatcher.h"
#include "metrics/counters.h"
#include "routing/router.h"
#include "stand_in/virtual_timer_service.h"
#include "submission/submission_registry.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <vector>

// Measures the CPU time per task of the dispatcher and its memory. An in-memory worker client and a
// trivial router keep HTTP and routing decisions out of the result.

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// Router that always picks worker 0; router_bench measures real decisions.
class trivial_router final : public router {
public:
    bool has_room = true;

    void apply(const deployment& /*settings*/) override {}
    std::optional<worker_id> pick(const routing_query& /*query*/) override
    {
        return has_room ? std::optional<worker_id>{0} : std::nullopt;
    }
    bool can_ever_run(kind_index /*kind*/) const override { return true; }
    void record_start(worker_id /*worker*/, kind_index /*kind*/) override {}
    void record_end(worker_id /*worker*/, kind_index /*kind*/, const start_reply& /*reply*/,
                    duration /*elapsed*/) override
    {
    }
    void record_load(worker_id /*worker*/, const worker_load& /*load*/) override {}
    void set_leaving(worker_id /*worker*/, bool /*leaving*/) override {}
    void set_share(double /*share*/) override {}
    duration run_time_quantile(kind_index /*kind*/, double /*quantile*/) const override
    {
        return 50ms;
    }
    duration expected_wait(std::size_t /*position*/) const override { return duration::zero(); }
};

// Worker client that completes all open starts when answer_all() is called.
class fake_workers final : public worker_client {
public:
    void start(worker_id /*worker*/, const start_request& request, callback done) override
    {
        benchmark::DoNotOptimize(request.task_id.data());
        open_.push_back(std::move(done));
    }
    void renew(worker_id /*worker*/, std::string_view /*id*/, duration /*lease*/) override {}
    void stop(worker_id /*worker*/, std::string_view /*id*/) override {}

    void answer_all()
    {
        std::vector<callback> ready;
        ready.swap(open_);
        for (const callback& done : ready) {
            start_reply reply;
            reply.status = start_status::completed;
            reply.payload = "stamped";
            done(std::move(reply));
        }
    }

private:
    std::vector<callback> open_;
};

struct bench_fixture {
    bench_fixture()
    {
        settings.kinds = {{"stamp_check", false, false, 50ms, 2s, {}}};
        for (int n = 0; n < 77; ++n) {
            settings.teams.push_back({fmt::format("team{}", n), 1.0, 100});
            settings.customers.push_back({fmt::format("member{}", n), settings.teams[n].name});
        }
        settings.limits.max_queued_tasks = 10'000'000;
        timers.advance(1s);
        service = std::make_unique<dispatcher>(
            settings, dispatcher_options{"lahore-1", "lhe", 0x18c2f3a4b5U, 7, 1},
            dispatcher::dependencies{workers, task_router, timers, nullptr, &metrics});
    }

    // Submits one job and registers a wait for its answer.
    void submit(std::size_t tasks)
    {
        submission_request request;
        request.id = fmt::format("{}.{:012}", service->issue_prefix(), ++last);
        request.customer = settings.customers[last % 77].id;
        request.kind = "stamp_check";
        request.payloads.assign(tasks, R"({"letter":"LHE-2041-000917","cents":120})");
        const std::string id = request.id;
        if (!service->submit(std::move(request))) {
            std::abort();
        }
        service->wait(id, 30s, [this](const job_answer& answer) {
            answered += answer.state == job_state::completed ? 1 : 0;
        });
    }

    deployment settings;
    virtual_timer_service timers;
    fake_workers workers;
    trivial_router task_router;
    counters metrics;
    std::unique_ptr<dispatcher> service;
    std::uint64_t last = 0;
    std::uint64_t answered = 0;
};

// Measures a task from submission to answer, including the later end of the answer's retention.
void through_the_dispatcher(benchmark::State& state)
{
    bench_fixture it;
    const auto tasks = static_cast<std::size_t>(state.range(0));
    const std::size_t jobs = std::max<std::size_t>(1, 100 / tasks);
    for ([[maybe_unused]] auto _ : state) {
        for (std::size_t n = 0; n < jobs; ++n) {
            it.submit(tasks);
        }
        while (it.service->open_jobs() > 0) {
            it.workers.answer_all();
            it.timers.advance(1ms);
        }
        it.timers.advance(10ms); // 10,000 tasks a second in virtual time
    }
    const auto count = static_cast<double>(state.iterations() * jobs * tasks);
    state.counters["ns_per_task"] =
        benchmark::Counter(count * 1e-9, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    if (it.answered != it.last) {
        state.SkipWithError("an answer is missing");
    }
}
BENCHMARK(through_the_dispatcher)->Arg(1)->Arg(10)->Arg(700);

// Measures the memory of queued jobs and of retained answers.
void memory(benchmark::State& state)
{
    const auto tasks = static_cast<std::size_t>(state.range(0));
    const std::size_t jobs = 100'000 / tasks;
    for ([[maybe_unused]] auto _ : state) {
        bench_fixture it;
        it.task_router.has_room = false;
        const std::size_t empty = it.service->bytes();
        for (std::size_t n = 0; n < jobs; ++n) {
            it.submit(tasks);
        }
        const std::size_t open = it.service->bytes();
        it.task_router.has_room = true;
        while (it.service->open_jobs() > 0) {
            it.timers.advance(1ms);
            it.workers.answer_all();
        }
        const std::size_t retained = it.service->bytes();
        const auto count = static_cast<double>(jobs);
        state.counters["bytes_per_open_job"] = static_cast<double>(open - empty) / count;
        state.counters["bytes_per_retained_job"] = static_cast<double>(retained - empty) / count;
    }
}
BENCHMARK(memory)->Arg(1)->Arg(700)->Iterations(1);

// Measures the id registry at 9,000 ids a second for longer than a prefix is valid.
void remembered_ids(benchmark::State& state)
{
    for ([[maybe_unused]] auto _ : state) {
        submission_registry registry{4'000'000};
        std::uint64_t id = 1;
        for (int ms = 0; ms < 150'000; ++ms) {
            const monotonic_time now{std::chrono::milliseconds{ms}};
            for (int n = 0; n < 9; ++n) {
                id = id * 6364136223846793005U + 1442695040888963407U;
                registry.try_insert(id ^ (id >> 32U), 1, now, now);
            }
        }
        state.counters["ids"] = static_cast<double>(registry.size());
        state.counters["bytes_per_id"] =
            static_cast<double>(registry.bytes()) / static_cast<double>(registry.size());
        state.counters["ns_per_id"] = benchmark::Counter(
            150'000 * 9 * 1e-9, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    }
}
BENCHMARK(remembered_ids)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
