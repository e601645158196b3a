#include "base/random.h"
#include "dispatch_fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace cactusloom;
using namespace cactusloom::dispatch_test;

namespace {

using status = start_status;

deployment long_deadlines()
{
    auto it = fixture::base();
    for (auto& kind : it.kinds) {
        kind.default_deadline = 20s;
    }
    return it;
}

// Completes enough tasks for the run times to count as learned and the budgets to hold tokens.
void warm_up(fixture& f, const char* kind)
{
    // Shorter than the run time that the router reports, so that no task is hedged.
    f.client.script = {ok(40ms)};
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(f.send(f.request(kind, 8)).has_value());
        f.timers.advance(60ms);
    }
    f.client.starts = 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatching_under_load)

// Each row pauses the process at some point of a task. Guards against a dispatcher that acts under
// a lease that ended during the pause.
BOOST_AUTO_TEST_CASE(paused_process)
{
    struct row {
        const char* what;
        const char* kind;
        std::vector<behaviour> script;
        duration pause_at;
        duration pause;
        job_state expected;
        std::size_t starts;
        std::size_t renewals;
        std::uint64_t lapsed;
    };
    const behaviour good = ok(10ms);
    const row rows[] = {
        {"no pause, long task", "once", {ok(9s)}, 1s, 0s, complete, 1, 3, 0},
        {"short pause", "once", {ok(9s)}, 2400ms, 2s, complete, 1, 3, 0},
        {"paused past the lease", "once", {ok(9s)}, 1s, 6s, complete, 1, 0, 1},
        {"paused past a renewed lease", "once", {ok(9s)}, 3s, 6s, complete, 1, 1, 1},
        {"paused before a refusal", "once", {busy(1s), good}, 500ms, 6s, not_run, 1, 0, 1},
        {"short pause before a refusal", "once", {busy(1s), good}, 500ms, 3s, complete, 2, 1, 0},
        {"paused during the backoff", "once", {busy(1s), good}, 1000500us, 6s, not_run, 1, 0, 0},
        {"paused before a lost reply", "twice", {lost(1s), good}, 20ms, 6s, unknown, 1, 0, 1},
        {"paused before the hedge", "twice", {ok(1s), good}, 20ms, 6s, complete, 1, 0, 1},
        {"no pause before the hedge", "twice", {ok(1s), good}, 20ms, 0s, complete, 2, 0, 0},
    };
    for (const row& it : rows) {
        fixture f{2, long_deadlines()};
        warm_up(f, it.kind);
        f.client.script = it.script;
        const auto job = f.request(it.kind, 1, 20s);
        BOOST_TEST(f.send(job).has_value());
        f.timers.advance(it.pause_at);
        f.timers.pause(it.pause);
        f.timers.advance(30s);
        BOOST_REQUIRE(f.answers[job.id].size() == 1U);
        BOOST_TEST((f.answers[job.id][0].state == it.expected), it.what);
        BOOST_TEST(f.client.starts == it.starts, it.what);
        BOOST_TEST(f.client.renewals == it.renewals, it.what);
        BOOST_TEST(f.count("leases_lapsed") == it.lapsed, it.what);
        f.check(it.what);
    }
}

// Each row is a slow or lost task. Guards against second starts that the kind does not allow or the
// budget does not cover, and against two answers.
BOOST_AUTO_TEST_CASE(hedging_and_second_starts)
{
    struct row {
        const char* what;
        const char* kind;
        double budget;
        std::vector<behaviour> script;
        job_state expected;
        std::size_t starts;
        std::size_t stops;
        duration latency;
    };
    const behaviour slow = ok(1s);
    const behaviour fast = ok(10ms);
    const behaviour medium = ok(970ms);
    const row rows[] = {
        {"hedge wins", "twice", 2.2, {slow, fast}, complete, 2, 1, 60ms},
        {"first start wins", "twice", 2.2, {slow, medium}, complete, 2, 1, 1s},
        {"kind did not opt in", "idem", 2.2, {slow, fast}, complete, 1, 0, 1s},
        {"not idempotent", "once", 2.2, {slow, fast}, complete, 1, 0, 1s},
        {"no budget", "twice", 2.0, {slow, fast}, complete, 1, 0, 1s},
        {"hedge refused", "twice", 2.2, {slow, busy(1ms)}, complete, 2, 0, 1s},
        {"hedge lost", "twice", 2.2, {slow, lost(1ms)}, complete, 2, 0, 1s},
        {"first start lost, hedge wins", "twice", 2.2, {lost(60ms), fast}, complete, 2, 0, 60ms},
        {"first start fails, hedge wins", "twice", 2.2, {failed(52ms), fast}, complete, 2, 0, 60ms},
        {"lost before the hedge, retried", "twice", 2.2, {lost(20ms), fast}, complete, 2, 0, 33ms},
        {"lost, no budget for a retry", "twice", 2.0, {lost(20ms), fast}, unknown, 1, 0, 20ms},
        {"lost, then always refused", "twice", 2.2, {lost(20ms), busy(1ms)}, unknown, 5, 0, 100ms},
    };
    for (const row& it : rows) {
        auto settings = fixture::base();
        settings.profile.message_budget = it.budget;
        fixture f{2, settings};
        warm_up(f, it.kind);
        f.client.script = it.script;
        const auto job = f.request(it.kind);
        const auto sent = f.timers.monotonic_now();
        BOOST_TEST(f.send(job).has_value());
        f.timers.advance(10s);
        BOOST_REQUIRE(f.answers[job.id].size() == 1U);
        BOOST_TEST((f.answers[job.id][0].state == it.expected), it.what);
        BOOST_TEST(f.client.starts == it.starts, it.what);
        BOOST_TEST(f.client.stops == it.stops, it.what);
        BOOST_TEST((f.answered.at(job.id) - sent <= it.latency + 2ms), it.what);
        f.check(it.what);
    }
}

// Guards against retries that multiply the load while all workers refuse tasks.
BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
    fixture f{50};
    f.client.script = {busy(1ms)};
    for (int n = 0; n < 400; ++n) {
        BOOST_TEST(f.send(f.request("once")).has_value());
    }
    f.timers.advance(10s);
    BOOST_TEST(f.client.starts <= 400U + 40U + 10U);
    BOOST_TEST(f.client.starts > 440U);
    BOOST_TEST(f.count("jobs_failed_not_run") == 400U);
    f.check("all refuse");
}

// Guards against a large job that delays small ones of its own team or of others.
BOOST_AUTO_TEST_CASE(job_of_700_tasks_does_not_delay_single_requests)
{
    fixture f{1};
    BOOST_TEST(f.send(f.request("once", 700, 10s)).has_value());
    f.timers.advance(5ms);
    const auto own = f.request("once");
    const auto other = f.request("once", 1, 2s, "ben");
    const auto sent = f.timers.monotonic_now();
    BOOST_TEST(f.send(own).has_value());
    BOOST_TEST(f.send(other).has_value());
    f.timers.advance(20s);
    // The minimum is 45 ms until the next slot is free plus the run time of 50 ms.
    BOOST_TEST((f.answered.at(own.id) - sent <= 100ms));
    BOOST_TEST((f.answered.at(other.id) - sent <= 100ms));
    BOOST_TEST(f.count("jobs_completed") == 3U);
    f.check("700 beside 1");
}

// Guards against quotas that leave slots idle, and against a team over its quota that keeps its
// slots when another team has tasks.
BOOST_AUTO_TEST_CASE(quota_is_lent_while_idle_and_returned)
{
    auto settings = fixture::base();
    settings.teams = {{"a", 1.0, 2}, {"b", 1.0, 6}};
    fixture f{1, settings};
    BOOST_TEST(f.send(f.request("once", 100, 20s)).has_value());
    BOOST_TEST(f.task_router.running[0] == 8);
    f.timers.advance(5ms);
    f.client.order.clear();
    BOOST_TEST(f.send(f.request("once", 12, 20s, "ben")).has_value());
    f.timers.advance(46ms);
    // Of the eight slots that became free, team b gets six and team a two.
    BOOST_REQUIRE(f.client.order.size() == 8U);
    BOOST_TEST(std::count_if(f.client.order.begin(), f.client.order.end(),
                             [](const auto& it) { return it.starts_with("ben"); }) == 6);
    f.timers.advance(20s);
    f.check("quota");
}

// Guards against wasting capacity on tasks that finish too late, under a load of ten times the
// capacity: goodput must be at least 95 % of capacity and the p99 of accepted tasks within their
// deadline. Without a predicted wait only the queue sheds tasks, and the p99 is of started tasks.
BOOST_DATA_TEST_CASE(burst_of_ten_times_the_capacity, boost::unit_test::data::make({true, false}),
                     is_predicted)
{
    fixture f{4};
    random_engine random{5};
    f.client.script.clear();
    for (int n = 0; n < 4000; ++n) {
        f.client.script.push_back({status::completed, 40ms + 1ms * draw_below(random, 21)});
    }
    f.task_router.run_time = 60ms; // the p99 of these run times
    f.task_router.wait_per_task = is_predicted ? duration{50ms} / 32 : 0s; // 640 tasks a second
    std::vector<submission_request> jobs;
    std::size_t accepted = 0;
    const auto begin = f.timers.monotonic_now();
    for (int ms = 0; ms < 4000; ++ms) {
        for (int n = 0; n < 6 + (ms % 5 < 2 ? 1 : 0); ++n) { // 6,400 a second
            jobs.push_back(f.request("once", 1, 500ms, n % 2 == 0 ? "anna" : "ben"));
            accepted += f.send(jobs.back()).has_value() ? 1 : 0;
        }
        f.timers.advance(1ms);
    }
    f.timers.advance(2s);
    std::size_t in_time = 0;
    monotonic_time end = begin;
    for (std::size_t n = 0; n < jobs.size(); ++n) {
        const auto& all = f.answers[jobs[n].id];
        if (all.empty() || all[0].state == not_run) {
            continue;
        }
        end = std::max(end, f.answered.at(jobs[n].id));
        const auto sent = begin + 1ms * static_cast<int>(n * 10 / 64);
        in_time += all[0].state == complete && f.answered.at(jobs[n].id) - sent <= 500ms;
    }
    const std::size_t capacity = 640 * static_cast<std::size_t>((end - begin) / 1ms) / 1000;
    BOOST_TEST_MESSAGE("capacity " << capacity << ", in time " << in_time << ", accepted "
                                   << accepted << ", started " << f.client.starts
                                   << ", shed after acceptance " << f.count("jobs_failed_not_run"));
    BOOST_TEST(in_time >= capacity * 95 / 100);
    BOOST_TEST(in_time >= (is_predicted ? accepted : f.client.starts) * 99 / 100);
    f.check("burst");
}

// Guards against a burst of cancellations that blocks the event loop or leaves slots occupied.
BOOST_AUTO_TEST_CASE(cancellation_of_5000_jobs)
{
    fixture f{400};
    f.client.script = {ok(1s)};
    std::vector<std::string> ids;
    for (int n = 0; n < 5000; ++n) {
        const auto job = f.request("once", 1, 10s, n % 2 == 0 ? "anna" : "ben");
        BOOST_TEST(f.send(job).has_value());
        ids.push_back(job.id);
    }
    f.timers.advance(100ms);
    BOOST_TEST(f.client.starts == 3200U);
    for (const auto& id : ids) {
        BOOST_TEST(f.service->cancel(id).has_value());
    }
    // The queued tasks are dropped at once; the stops follow in batches of bounded size.
    BOOST_TEST(f.service->queued_tasks() == 0U);
    std::size_t most = 0;
    for (std::size_t before = 0; f.client.stops < 3200U && f.timers.run_next();) {
        most = std::max(most, f.client.stops - before);
        before = f.client.stops;
    }
    BOOST_TEST(most <= 256U);
    BOOST_TEST(std::count(f.task_router.running.begin(), f.task_router.running.end(), 0) == 400);
    f.timers.advance(10s);
    BOOST_TEST(f.client.starts == 3200U);
    BOOST_TEST(f.count("jobs_failed_not_run") == 1800U);
    BOOST_TEST(f.count("jobs_failed_after_run") == 3200U);
    f.check("wave");
}

// Guards against a shutdown that drops accepted jobs or reports its end too early.
BOOST_AUTO_TEST_CASE(shutdown_under_load)
{
    fixture f{1};
    for (int n = 0; n < 40; ++n) {
        BOOST_TEST(f.send(f.request("once", 5, 20s)).has_value());
    }
    f.timers.advance(120ms);
    int drained = 0;
    f.service->shut_down([&] {
        ++drained;
        BOOST_TEST(f.count("jobs_completed") == 40U);
        BOOST_TEST(f.answers.size() == 40U);
    });
    const auto late = f.service->submit(f.request("once"));
    BOOST_REQUIRE(!late.has_value());
    BOOST_TEST((late.error().code == errc::unavailable));
    f.timers.advance(1s);
    BOOST_TEST(drained == 0);
    f.timers.advance(20s);
    BOOST_TEST(drained == 1);
    f.check("shutdown");
}

BOOST_AUTO_TEST_SUITE_END()
