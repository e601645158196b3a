#include "routing/router.h"
#include "src/routing/job_spread.h"
#include "src/routing/run_time_model.h"
#include "src/routing/worker_health.h"
#include "src/routing/worker_table.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <numeric>
#include <ostream>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t worker_count = 40;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t workers_per_rack = 8;

deployment make_deployment(const char* strategy = "predicted_finish")
{
    deployment made;
    made.profile.routing = strategy;
    made.kinds.resize(1);
    made.kinds[0].declared_run_time = 200ms;
    for (std::uint32_t i = 0; i < worker_count; ++i) {
        worker_settings worker;
        worker.name = "w" + std::to_string(i);
        worker.rack = "r" + std::to_string(i / workers_per_rack);
        worker.slots = slots;
        made.workers.push_back(worker);
    }
    return made;
}

// One router with simulated workers whose replies are set by the test. Each step takes 1 ms, adds a
// task to the queue, starts queued tasks while there is room, and ends tasks that have run 200 ms
// or, on a failing worker, 1 ms. At 1,000 tasks a second 200 of the 320 slots are in use.
struct fault_harness {
    explicit fault_harness(const char* strategy = "predicted_finish", double share = 0.8)
        : task_router(router::make(make_deployment(strategy), time, {.seed = 7, .share = share}))
    {
        behaviour.fill(start_status::completed);
    }

    void step()
    {
        time.advance(1ms);
        for (std::size_t i = 0; i < running.size();) {
            const bool fails = behaviour[running[i].worker] != start_status::completed;
            const auto age = time.monotonic_now() - running[i].since;
            if (age >= 200ms || (fails && age >= 1ms)) {
                end(i);
            }
            else {
                ++i;
            }
        }
        for (++queued; queued > 0; --queued) {
            const auto worker = task_router->pick({.kind = 0, .job_key = ++jobs});
            if (!worker) {
                break;
            }
            task_router->record_start(*worker, 0);
            running.push_back({*worker, time.monotonic_now()});
            ++starts_by_worker[*worker];
            max_held[*worker] = std::max(max_held[*worker], held(*worker));
        }
    }

    void end(std::size_t i)
    {
        const worker_id worker = running[i].worker;
        const auto age = time.monotonic_now() - running[i].since;
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
        start_reply reply;
        reply.status = behaviour[worker];
        reply.has_load =
            reply.status != start_status::reply_lost && reply.status != start_status::not_sent;
        reply.load.running = static_cast<std::uint16_t>(
            reported_load >= 0 ? static_cast<std::uint32_t>(reported_load) : held(worker));
        reply.load.leaving = reported_leaving_worker == worker;
        task_router->record_end(worker, 0, reply, age);
    }

    std::uint32_t held(worker_id worker) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(running.begin(), running.end(),
                          [worker](const auto& it) { return it.worker == worker; }));
    }

    void run(int steps)
    {
        starts_by_worker.fill(0);
        max_held.fill(0);
        for (int i = 0; i < steps; ++i) {
            step();
        }
    }

    std::uint32_t starts_on(worker_id first, worker_id last) const
    {
        std::uint32_t sum = 0;
        for (worker_id id = first; id < last; ++id) {
            sum += starts_by_worker[id];
        }
        return sum;
    }

    struct task {
        worker_id worker;
        monotonic_time since;
    };

    virtual_timer_service time;
    std::unique_ptr<router> task_router;
    std::array<start_status, worker_count> behaviour{};
    std::array<std::uint32_t, worker_count> starts_by_worker{};
    std::array<std::uint32_t, worker_count> max_held{};
    std::vector<task> running;
    std::uint64_t jobs = 0;
    std::uint64_t queued = 0;
    worker_id reported_leaving_worker = worker_count; // worker whose replies report it as leaving
    int reported_load = -1; // load in every reply, or -1 for the number of own tasks
};

// A fault of some workers and bounds on the tasks that are started on them.
struct fault_row {
    const char* fault;
    start_status answer; // of the faulty workers
    worker_id faulty;    // number of faulty workers, from worker 0 on
    int settle_steps;    // ms after the fault before tasks are counted
    int counted_steps;   // ms during which tasks are counted
    std::uint32_t at_least;
    std::uint32_t at_most; // tasks started on the faulty workers
};

std::ostream& operator<<(std::ostream& out, const fault_row& row)
{
    return out << row.fault;
}

// The bound of 20 is 0.5 % of the 4,000 tasks counted after the first second.
const std::array<fault_row, 6> fault_rows{{
    // Fails without ejection or the single-task limit, since a quick failure frees the slot.
    {"one worker fails every task immediately", start_status::task_failed, 1, 1000, 4000, 0, 20},
    // Fails if unreachable workers are not counted as failing.
    {"one worker is unreachable", start_status::not_sent, 1, 1000, 4000, 0, 20},
    // Fails if the rack is not ejected as a whole: at most a tenth of the workers may be ejected
    // one by one, which is 4 of its 8.
    {"a rack is lost", start_status::reply_lost, workers_per_rack, 1000, 4000, 0, 20},
    // Fails if workers are judged by their absolute failure rate.
    {"every worker fails", start_status::task_failed, worker_count, 1000, 4000, 3900, 4000},
    // Fails if the whole fleet being unreachable is taken for the loss of each rack.
    {"every worker is unreachable", start_status::reply_lost, worker_count, 1000, 4000, 3900, 4000},
    // Fails if a leaving worker is still tried, even if less often.
    {"a leaving worker refuses tasks", start_status::refused_leaving, 1, 1000, 4000, 0, 0},
}};

std::vector<std::uint16_t> make_racks()
{
    std::vector<std::uint16_t> racks(worker_count);
    for (std::uint32_t i = 0; i < worker_count; ++i) {
        racks[i] = static_cast<std::uint16_t>(i / workers_per_rack);
    }
    return racks;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing_faults)

BOOST_DATA_TEST_CASE(faulty_workers_get_bounded_starts, fault_rows, row)
{
    fault_harness harness;
    harness.run(2000);
    BOOST_TEST(harness.starts_on(0, worker_count) >= 1900U);
    std::fill_n(harness.behaviour.begin(), row.faulty, row.answer);
    harness.run(row.settle_steps);
    harness.run(row.counted_steps);
    BOOST_TEST(harness.starts_on(0, row.faulty) >= row.at_least);
    BOOST_TEST(harness.starts_on(0, row.faulty) <= row.at_most);
    BOOST_TEST(harness.starts_on(0, worker_count) >= 3900U);
}

// Guards against a worker that stays ejected after its fault has ended, and against one that gets
// its full load back at once.
BOOST_DATA_TEST_CASE(recovered_workers_return_through_probation,
                     boost::unit_test::data::make({1U, workers_per_rack}), faulty)
{
    fault_harness harness;
    harness.run(2000);
    std::fill_n(harness.behaviour.begin(), faulty, start_status::reply_lost);
    harness.run(1000);
    harness.behaviour.fill(start_status::completed);
    harness.run(1200); // the first probe is due 2 s after ejection
    for (worker_id id = 0; id < faulty; ++id) {
        BOOST_TEST(harness.max_held[id] <= 1U);
    }
    harness.run(5000);
    BOOST_TEST(harness.starts_on(0, faulty) >= faulty * 60U); // an equal share is 125
}

// Guards against a new instance that takes workers without load reports for idle ones.
BOOST_AUTO_TEST_CASE(new_instance_does_not_overload_a_worker)
{
    virtual_timer_service time;
    const auto task_router =
        router::make(make_deployment(), time, {.seed = 3, .share = 1.0, .share_begin = 0});
    std::array<std::uint32_t, worker_count> held{};
    for (std::uint64_t job = 1; job <= 700; ++job) {
        if (const auto worker = task_router->pick({.kind = 0, .job_key = 1})) {
            task_router->record_start(*worker, 0);
            ++held[*worker];
        }
    }
    BOOST_TEST(*std::max_element(held.begin(), held.end()) <= 2U);
    BOOST_TEST(*std::min_element(held.begin(), held.end()) >= 1U);
}

// Guards against herding: all instances sending to the workers that old reports show as free.
BOOST_AUTO_TEST_CASE(nine_instances_with_old_reports_do_not_overload_a_worker)
{
    virtual_timer_service time;
    std::vector<std::unique_ptr<router>> routers;
    routers.reserve(9);
    for (int i = 0; i < 9; ++i) {
        routers.push_back(router::make(make_deployment(), time,
                                       {.seed = 5U + static_cast<std::uint64_t>(i),
                                        .share = 1.0 / 9,
                                        .share_begin = i / 9.0}));
    }
    // A report from two seconds ago shows workers 0 to 3 as idle and all others as full.
    for (const auto& it : routers) {
        for (worker_id id = 0; id < worker_count; ++id) {
            const bool idle = id < 4;
            it->record_load(id, {.running = static_cast<std::uint16_t>(idle ? 0 : slots)});
        }
    }
    time.advance(2s);
    std::array<std::uint32_t, worker_count> held{};
    for (int i = 0; i < 200; ++i) {
        for (const auto& it : routers) {
            if (const auto worker = it->pick({.kind = 0, .job_key = 1})) {
                it->record_start(*worker, 0);
                ++held[*worker];
            }
        }
    }
    // Without borrowing, the own slots of all instances add up to the slots of a worker. If each of
    // the nine borrowed from a worker that looks idle, it would get over three times as many.
    BOOST_TEST(*std::max_element(held.begin(), held.end()) <= 2 * slots);
    BOOST_TEST(std::accumulate(held.begin(), held.end(), 0U) >= worker_count * slots * 9 / 10);
}

// Guards against slots that are assigned to two instances or to none.
BOOST_AUTO_TEST_CASE(slots_are_divided_without_overlap)
{
    virtual_timer_service time;
    const std::array<double, 5> shares{0.05, 0.1, 0.2, 0.25, 0.4};
    std::array<float, worker_count> sums{};
    double begin = 0;
    for (const double share : shares) {
        const worker_table table(make_deployment(), begin, share);
        for (worker_id id = 0; id < worker_count; ++id) {
            sums[id] += table.own_slots[id];
        }
        begin += share;
    }
    for (const float sum : sums) {
        BOOST_TEST(sum == static_cast<float>(slots));
    }
}

// Guards against an instance that sends nothing any more because every worker once looked full.
BOOST_AUTO_TEST_CASE(full_reports_do_not_stop_an_instance_permanently)
{
    fault_harness harness("predicted_finish", 0.01);
    harness.reported_load = 2 * slots;
    harness.run(2000);
    harness.running.clear();
    for (worker_id id = 0; id < worker_count; ++id) {
        harness.task_router->record_load(id, {.running = slots, .queued = slots});
    }
    harness.run(10000);
    BOOST_TEST(harness.starts_on(0, worker_count) >= 10U);
}

// Guards against a strategy that sends tasks to leaving workers or leaves workers unused, and
// against an unknown name that selects some strategy.
BOOST_DATA_TEST_CASE(every_strategy_starts_tasks_and_skips_leaving_workers,
                     boost::unit_test::data::make({"random", "round_robin", "fewest_outstanding",
                                                   "two_choices", "two_choices_finish",
                                                   "predicted_finish"}),
                     name)
{
    fault_harness harness(name);
    harness.task_router->set_leaving(3, true);
    harness.run(3000);
    BOOST_TEST(harness.starts_on(0, worker_count) >= 2700U);
    BOOST_TEST(harness.starts_by_worker[3] == 0U);
    harness.task_router->set_leaving(3, false);
    harness.run(3000);
    BOOST_TEST(harness.starts_by_worker[3] > 0U);
    virtual_timer_service time;
    BOOST_TEST(!router::make(make_deployment("no_such_strategy"), time, {}));
}

// Guards against placing all tasks of a job in one rack, so that the loss of the rack hits them
// all.
BOOST_AUTO_TEST_CASE(tasks_of_a_job_are_spread_over_racks)
{
    virtual_timer_service time;
    const auto task_router = router::make(make_deployment(), time, {.seed = 3, .share = 1.0});
    // Rack 0 is idle and all others are half full, so that load alone would favour rack 0.
    for (worker_id id = 0; id < worker_count; ++id) {
        task_router->record_load(
            id, {.running = static_cast<std::uint16_t>(id < workers_per_rack ? 0 : 4)});
    }
    std::array<std::uint32_t, worker_count / workers_per_rack> counts{};
    for (int i = 0; i < 10; ++i) {
        const auto worker = task_router->pick({.kind = 0, .job_key = 9});
        BOOST_REQUIRE(worker.has_value());
        task_router->record_start(*worker, 0);
        ++counts[*worker / workers_per_rack];
    }
    BOOST_TEST(*std::max_element(counts.begin(), counts.end()) <= 3U);
}

// Guards against a wrong declared run time, too short or too long, that persists after the first
// replies.
BOOST_DATA_TEST_CASE(wrong_declared_run_time_is_replaced_by_learned_one,
                     boost::unit_test::data::make({20, 2000}), declared_ms)
{
    deployment settings = make_deployment();
    settings.kinds[0].declared_run_time = std::chrono::milliseconds{declared_ms};
    run_time_model model(settings);
    BOOST_TEST(model.quantile(0, 0.95).count() == declared_ms * 1000);
    for (int i = 0; i < 100; ++i) {
        model.learn(0, i % 10 == 9 ? 1.0F : 0.2F, 1.0F);
    }
    BOOST_TEST(model.mean(0) == 0.28F, boost::test_tools::tolerance(0.1F));
    // Histogram buckets are 9 % wide.
    BOOST_TEST(static_cast<double>(model.quantile(0, 0.5).count()) == 200e3,
               boost::test_tools::tolerance(0.1));
    BOOST_TEST(static_cast<double>(model.quantile(0, 0.95).count()) == 1e6,
               boost::test_tools::tolerance(0.1));
}

// Guards against new tasks for a worker that reports that it is leaving but still completes tasks.
BOOST_AUTO_TEST_CASE(leaving_in_a_load_report_stops_new_tasks)
{
    fault_harness harness;
    harness.run(1000);
    harness.reported_leaving_worker = 2;
    harness.run(300); // one task has ended by then
    harness.run(2000);
    BOOST_TEST(harness.starts_by_worker[2] == 0U);
}

// Guards against ejections in a fleet-wide fault, in which all workers fail the same fraction of
// their tasks, by failed tasks or by missing replies.
BOOST_DATA_TEST_CASE(fleet_wide_fault_ejects_no_worker,
                     boost::unit_test::data::make({30, 60, 100}) *
                         boost::unit_test::data::make({false, true}),
                     percent, is_unreachable)
{
    const auto outcome = is_unreachable ? task_outcome::unreachable : task_outcome::failure;
    worker_health health(make_racks(), worker_count / workers_per_rack, 1);
    std::uint32_t draw = 1;
    for (int i = 0; i < 200; ++i) {
        const double now = 0.4 * i;
        for (worker_id id = 0; id < worker_count; ++id) {
            draw = draw * 1664525U + 1013904223U;
            const bool fails = i >= 20 && (draw >> 16U) % 100 < static_cast<std::uint32_t>(percent);
            health.record(id, fails ? outcome : task_outcome::success, now);
        }
        health.evaluate(now);
        BOOST_TEST(health.ejected() == 0U);
        BOOST_TEST(health.lost_racks() == 0U);
    }
    // When most tasks fail, the single-task limit would take away the remaining capacity.
    const auto limited = std::count(health.limits().begin(), health.limits().end(), 1.0F);
    BOOST_TEST((percent < 60 || limited == 0));
}

// Guards against a worker that attracts tasks by failing quickly, and against one that gets its
// full load back after a single success.
BOOST_AUTO_TEST_CASE(workers_on_probation_hold_one_task)
{
    worker_health health(make_racks(), worker_count / workers_per_rack, 1);
    for (worker_id id = 0; id < worker_count; ++id) {
        health.record(id, task_outcome::success, 1.0);
    }
    health.record(4, task_outcome::failure, 1.1);
    health.evaluate(1.1);
    BOOST_TEST(health.limits()[4] == 1.0F);
    health.record(4, task_outcome::failure, 1.2);
    health.record(4, task_outcome::failure, 1.3);
    health.evaluate(1.3);
    BOOST_TEST(health.limits()[4] == 0.0F);
    const auto any = [](worker_id /*id*/) { return true; };
    BOOST_TEST(!health.begin_probe(2.0, any).has_value());
    BOOST_TEST(health.begin_probe(4.0, any).value_or(0) == 4U);
    BOOST_TEST(!health.begin_probe(4.0, any).has_value());
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(health.limits()[4] == (i == 0 ? 0.0F : 1.0F));
        health.record(4, task_outcome::success, 4.5);
    }
    health.record(4, task_outcome::success, 4.6);
    BOOST_TEST(health.limits()[4] > slots);
}

// Guards against ejecting more than a tenth of the workers, and against ejecting healthy ones.
BOOST_AUTO_TEST_CASE(at_most_a_tenth_is_ejected)
{
    worker_health health(std::vector<std::uint16_t>(worker_count, 0), 1, 1);
    double now = 0;
    for (int i = 0; i < 400; ++i) {
        for (worker_id id = 0; id < worker_count; ++id) {
            now += 0.001;
            const bool fails = i >= 20 && id < 8;
            health.record(id, fails ? task_outcome::failure : task_outcome::success, now);
            health.evaluate(now);
        }
        BOOST_TEST(health.ejected() <= worker_count / 10);
    }
    BOOST_TEST(health.ejected() == worker_count / 10);
    BOOST_TEST(std::count(health.limits().begin() + 8, health.limits().end(), 0.0F) == 0);
}

// Guards against ejecting the workers of a lost rack one by one, which would use up the ejections.
BOOST_AUTO_TEST_CASE(lost_rack_is_ejected_as_a_whole)
{
    worker_health health(make_racks(), worker_count / workers_per_rack, 1);
    for (worker_id id = 0; id < worker_count; ++id) {
        health.record(id, task_outcome::success, 1.0);
    }
    for (worker_id id = 0; id < workers_per_rack - 2; ++id) {
        health.record(id, task_outcome::unreachable, 2.0);
    }
    health.evaluate(2.0);
    BOOST_TEST(health.rack_events() == 1U);
    BOOST_TEST(health.ejected() == 0U);
    BOOST_TEST(std::count(health.limits().begin(), health.limits().begin() + workers_per_rack,
                          0.0F) == workers_per_rack);
}

// Guards against a new configuration that takes effect only after a restart, and against outcomes
// of earlier starts that are then recorded for another worker.
BOOST_AUTO_TEST_CASE(new_configuration_adds_and_retires_workers)
{
    deployment settings = make_deployment();
    virtual_timer_service time;
    auto task_router = router::make(settings, time, {.seed = 3, .share = 1.0, .share_begin = 0.0});
    task_router->record_start(5, 0);
    for (worker_settings& worker : settings.workers) {
        worker.retired = true;
    }
    worker_settings added;
    added.name = "new";
    added.rack = "new rack";
    added.slots = slots;
    settings.workers.push_back(added);
    request_kind kind;
    kind.needs = {"accelerator"};
    settings.kinds.push_back(kind);
    task_router->apply(settings);
    BOOST_TEST(task_router->pick({}).value_or(0) == worker_count);
    BOOST_TEST(!task_router->can_ever_run(1));
    start_reply reply;
    reply.status = start_status::completed;
    reply.run_time = 200ms;
    task_router->record_end(5, 0, reply, 200ms);
    for (worker_settings& worker : settings.workers) {
        worker.retired = worker.name == "new";
    }
    task_router->apply(settings);
    BOOST_TEST(task_router->pick({}).value_or(worker_count) < worker_count);
}

// Guards against tasks that wait forever for a feature that no worker has.
BOOST_AUTO_TEST_CASE(kind_without_eligible_worker_can_never_run)
{
    deployment settings = make_deployment();
    settings.kinds[0].needs = {"accelerator"};
    virtual_timer_service time;
    auto task_router = router::make(settings, time, {});
    BOOST_TEST(!task_router->can_ever_run(0));
    BOOST_TEST(!task_router->pick({}).has_value());
    settings.workers[5].features = {"accelerator"};
    task_router = router::make(settings, time, {});
    BOOST_TEST(task_router->can_ever_run(0));
    BOOST_TEST(task_router->pick({}).value_or(0) == 5U);
    BOOST_TEST(!task_router->pick({.excluded = 5}).has_value());
}

// Guards against a new configuration that resets learned state or that lets tasks go to removed
// workers or kinds.
BOOST_AUTO_TEST_CASE(new_configuration_keeps_learned_state)
{
    fault_harness harness;
    harness.run(1000);
    const auto learned = harness.task_router->run_time_quantile(0, 0.5);
    deployment next = make_deployment();
    next.workers[1].retired = true;
    next.kinds[0].declared_run_time = 9s;
    next.kinds.push_back(next.kinds[0]);
    next.kinds[0].retired = true;
    harness.task_router->apply(next);
    BOOST_TEST(!harness.task_router->can_ever_run(0));
    BOOST_TEST(harness.task_router->can_ever_run(1));
    BOOST_TEST(harness.task_router->run_time_quantile(0, 0.5).count() == learned.count());
    harness.run(2000);
    BOOST_TEST(harness.starts_by_worker[1] == 0U);
    BOOST_TEST(harness.starts_on(0, worker_count) >= 1900U);
    next.workers.push_back(next.workers[0]);
    next.workers.back().name = "added";
    next.workers.back().rack = "another rack";
    harness.task_router->apply(next);
    bool is_used = false;
    for (std::uint64_t job = 1; job <= 400 && !is_used; ++job) {
        const auto worker = harness.task_router->pick({.kind = 0, .job_key = job});
        if (worker) {
            harness.task_router->record_start(*worker, 0);
        }
        is_used = worker.value_or(0) == worker_count;
    }
    BOOST_TEST(is_used);
}

// Guards against a predicted wait of zero when no slot is free for the queue.
BOOST_AUTO_TEST_CASE(expected_wait_grows_with_the_position)
{
    fault_harness harness;
    BOOST_TEST(harness.task_router->expected_wait(0).count() == 0);
    const auto near_wait = harness.task_router->expected_wait(1000);
    const auto far_wait = harness.task_router->expected_wait(2000);
    BOOST_TEST(near_wait.count() > 0);
    BOOST_TEST(far_wait > near_wait);
}

BOOST_AUTO_TEST_SUITE_END()
