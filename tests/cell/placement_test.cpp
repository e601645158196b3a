#include "../../src/cell/placement.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

struct placement_fixture {
    run_time_estimator times;
    demand_meter demand;
    placement policy{times, demand, 3.0};
    std::vector<std::unique_ptr<claimed_worker>> workers;
    monotonic_time now{1s};

    placement_fixture()
    {
        // Kind "slow" takes 2.4 times as long as kind "fast".
        for (int i = 0; i < 50; ++i) {
            times.learn("queue", "fast", 100ms, 70ms);
            times.learn("queue", "slow", 100ms, 170ms);
        }
    }

    claimed_worker& add(const std::string& kind, std::int64_t cpu = 2000)
    {
        auto& it = *workers.emplace_back(std::make_unique<claimed_worker>());
        it.report.id = kind + std::to_string(workers.size());
        it.report.kind = kind;
        it.report.service = "service";
        it.report.labels = {kind, "rack"};
        it.report.capacity = {cpu, 1000, 0};
        return it;
    }

    active_job job(duration estimate, duration objective) const
    {
        active_job out;
        job_step step;
        step.count = 1;
        step.demand = {1000, 10, 0};
        step.estimate = estimate;
        out.request.id = "j";
        out.request.steps = {step};
        out.request.terms.queue = "new queue"; // no run time learned
        out.request.terms.service = "service";
        out.steps = {std::vector<task_state>(1)};
        out.done_of_step = {0};
        out.pending_tasks = 1;
        out.arrived = now;
        out.due = now + objective;
        out.deadline = now + 3 * objective;
        out.chain = estimate;
        out.request.terms.stretch = 1;
        out.request.terms.target_latency = objective - estimate;
        return out;
    }

    std::vector<claimed_worker*> open_workers() const
    {
        std::vector<claimed_worker*> out;
        for (const auto& row : workers) {
            out.push_back(row.get());
        }
        return out;
    }

    claimed_worker* choose(const active_job& it) const
    {
        return policy.choose(it, 0, it.steps[0][0], open_workers(), now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placing, placement_fixture)

// Guards against short tasks that occupy the fast workers that long tasks need.
BOOST_AUTO_TEST_CASE(short_tasks_go_to_slow_workers_long_ones_to_fast)
{
    add("fast");
    add("slow");
    BOOST_TEST(choose(job(60ms, 200ms))->report.kind == "slow");
    BOOST_TEST(choose(job(900ms, 1500ms))->report.kind == "fast");
}

// Guards against a long task that is started on a slow worker and misses the objective that it
// would have met by waiting for a fast one.
BOOST_AUTO_TEST_CASE(a_long_task_waits_for_a_fast_worker_while_that_helps)
{
    add("slow");
    BOOST_TEST(choose(job(900ms, 1500ms)) == nullptr);
    auto late = job(900ms, 600ms);
    late.deadline = now + 3s; // a slow worker still meets it
    BOOST_TEST(choose(late) != nullptr);
}

// Guards against a late task that is started on a slow worker while a fast one is free.
BOOST_AUTO_TEST_CASE(a_late_task_takes_the_fastest_worker_left)
{
    add("slow");
    add("fast");
    auto late = job(60ms, 30ms);
    late.deadline = now + 3s;
    BOOST_TEST(choose(late)->report.kind == "fast");
}

// Guards against starts that the job's service, required label or limit per worker rules out.
BOOST_AUTO_TEST_CASE(service_label_and_limit_per_worker_are_respected)
{
    auto& only = add("fast", 4000);
    auto it = job(60ms, 200ms);
    it.request.terms.service = "other";
    BOOST_TEST(choose(it) == nullptr);
    it = job(60ms, 200ms);
    it.request.steps[0].required_label = "gpu";
    BOOST_TEST(choose(it) == nullptr);
    it.request.steps[0].required_label = "rack";
    BOOST_TEST(choose(it) == &only);
    it.request.steps[0].max_per_worker = 1;
    task_run run;
    run.job = &it;
    only.runs["j.0.0.1"] = run;
    BOOST_TEST(choose(it) == nullptr);
}

// Guards against free capacity that is split over workers in parts too small for any task.
BOOST_AUTO_TEST_CASE(the_tightest_fit_is_taken_among_equals)
{
    add("fast", 3000);
    auto& tight = add("fast", 1000);
    BOOST_TEST(choose(job(60ms, 200ms)) == &tight);
}

// Guards against late jobs that go before jobs that can still be in time.
BOOST_AUTO_TEST_CASE(jobs_in_time_come_before_late_ones)
{
    auto late = job(100ms, 20ms);
    auto soon = job(100ms, 400ms);
    auto later = job(100ms, 800ms);
    std::vector<active_job*> jobs = {&late, &later, &soon};
    policy.sort(jobs, now);
    BOOST_TEST(jobs[0] == &soon);
    BOOST_TEST(jobs[1] == &later);
    BOOST_TEST(jobs[2] == &late);
}

// Guards against a late job that waits for a whole burst although only one of its tasks is left,
// and so loses the work done for it. A job whose answer has no value any more comes last even then.
BOOST_AUTO_TEST_CASE(late_jobs_are_ordered_by_unstarted_share)
{
    const auto with_tasks = [&](active_job it, std::uint32_t count, std::uint32_t pending) {
        it.request.steps[0].count = count;
        it.steps[0].resize(count);
        for (std::uint32_t i = pending; i < count; ++i) {
            it.steps[0][i].at = task_state::phase::placed;
        }
        return it;
    };
    auto in_time = job(100ms, 400ms);
    auto untouched = with_tasks(job(100ms, 60ms), 8, 8);
    auto half_done = with_tasks(job(100ms, 60ms), 8, 4);
    auto nearly_done = with_tasks(job(100ms, 60ms), 8, 1);
    auto useless = with_tasks(job(100ms, 20ms), 8, 1);
    std::vector<active_job*> jobs = {&useless, &untouched, &half_done, &in_time, &nearly_done};
    policy.sort(jobs, now);
    BOOST_TEST(jobs[0] == &nearly_done);
    BOOST_TEST(jobs[1] == &in_time);
    BOOST_TEST(jobs[2] == &half_done);
    BOOST_TEST(jobs[3] == &untouched);
    BOOST_TEST(jobs[4] == &useless);
}

// Guards against a job that is begun although its last task would start too late.
BOOST_AUTO_TEST_CASE(a_job_is_worth_starting_if_its_last_task_can_be_in_time)
{
    add("fast", 1000);
    auto it = job(100ms, 300ms);
    it.request.steps[0].count = 3;
    it.steps[0].resize(3);
    BOOST_TEST(policy.tasks_without_worker(it, open_workers(), now) == 2U);
    BOOST_TEST(policy.is_worth_starting(it, 50ms, now));
    BOOST_TEST(!policy.is_worth_starting(it, 400ms, now));
}

// Guards against a task that waits for a fast worker although it is safer on a slow one now.
BOOST_AUTO_TEST_CASE(a_task_waits_for_a_fast_worker_only_if_one_is_free_soon)
{
    add("slow");
    const auto it = job(900ms, 1500ms);
    BOOST_TEST(policy.choose(it, 0, it.steps[0][0], open_workers(), now, 100ms) == nullptr);
    BOOST_TEST(policy.choose(it, 0, it.steps[0][0], open_workers(), now, 2s) != nullptr);
}

// Guards against a prediction error that counts for the run time but not for the objective, which
// is a multiple of the same run time: the short task is in time on a slow worker however wrong the
// prediction is.
BOOST_AUTO_TEST_CASE(an_objective_grows_with_the_actual_run_time)
{
    add("fast");
    auto& slow = add("slow");
    auto it = job(100ms, 230ms);
    it.request.terms.stretch = 1.7;
    it.request.terms.target_latency = 60ms;
    BOOST_TEST(choose(it) == &slow);
}

// Guards against urgent queues that wait under overload behind older jobs of other queues.
BOOST_AUTO_TEST_CASE(urgent_queues_come_first)
{
    auto older = job(100ms, 400ms);
    older.request.terms.priority = 2;
    auto urgent = job(100ms, 800ms);
    std::vector<active_job*> jobs = {&older, &urgent};
    policy.sort(jobs, now);
    BOOST_TEST(jobs[0] == &urgent);
    BOOST_TEST(policy.work_before(jobs, urgent) < policy.work_before(jobs, older));
}

BOOST_AUTO_TEST_SUITE_END()
