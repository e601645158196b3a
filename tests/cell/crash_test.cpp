#include "cell_fixture.h"

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// Tasks of jobs whose id begins with "bad" crash each worker that starts them.
struct crash_fixture : cell_fixture {
    // Starts of a task after three workers have crashed under it that are not allowed any more.
    static constexpr std::size_t forbidden_starts = 3 + 3;

    crash_fixture()
    {
        fleet.crashes_worker = [](const std::string& name) { return name.starts_with("bad"); };
    }

    static job_request patient_job(const std::string& id, std::uint32_t tasks,
                                   duration estimate = 100ms)
    {
        auto out = job(id, tasks, estimate);
        out.time_left = 60s;
        out.terms.target_latency = 30s; // late, but of use all the time
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashes, crash_fixture)

// Guards against one task that crashes worker after worker until its job runs out of time.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up)
{
    add_workers(12);
    take_control();
    submit(patient_job("bad", 1));
    timers.advance(30s);
    BOOST_TEST(fleet.starts_of("bad.0.0.0") < forbidden_starts);
    BOOST_TEST(fleet.crashes() <= 3U);
    BOOST_TEST(ended("bad", job_end::unknown));
    check_no_violation();
}

// Guards against giving up tasks that shared a worker with the one that crashed it.
BOOST_AUTO_TEST_CASE(tasks_beside_one_that_crashes_its_workers_complete)
{
    add_workers(4);
    take_control();
    fleet.work = [](const std::string&) { return duration{400ms}; };
    for (int i = 0; i < 4; ++i) {
        submit(patient_job(fmt::format("bad{}", i), 1));
        submit(patient_job(fmt::format("good{}", i), 1));
    }
    timers.advance(40s);
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(ended(fmt::format("good{}", i), job_end::completed));
        BOOST_TEST(ended(fmt::format("bad{}", i), job_end::unknown));
    }
    check_no_violation();
}

// Guards against reporting `failed` for a job whose workers were partitioned and have not crashed.
BOOST_AUTO_TEST_CASE(a_task_whose_workers_were_only_silent_completes)
{
    fleet.crashes_worker = nullptr;
    fleet.work = [](const std::string&) { return duration{2s}; };
    add_workers(4);
    take_control();
    submit(patient_job("j", 1, 2s));
    for (int losses = 0; losses < 3; ++losses) {
        timers.advance(100ms);
        for (int i = 0; i < 4; ++i) {
            const auto id = fmt::format("w{}", i);
            if (fleet.running(id) != 0) {
                fleet.fault(id).silent = true;
                timers.schedule(3500ms, [this, id] { fleet.fault(id).silent = false; });
            }
        }
        timers.advance(1300ms);
    }
    BOOST_TEST(!outcomes.contains("j"));
    timers.advance(10s);
    BOOST_TEST(ended("j", job_end::completed));
    check_no_violation();
}

// Guards against giving up a job because of starts that were sent to workers that had crashed
// before.
BOOST_AUTO_TEST_CASE(starts_on_dead_workers_do_not_count_as_crashes)
{
    fleet.work = [](const std::string&) { return duration{300ms}; };
    add_workers(2);
    take_control();
    for (int i = 0; i < 2; ++i) {
        // Both workers are dead when the task is started, and come back as other processes.
        for (const char* id : {"w0", "w1"}) {
            fleet.fault(id).silent = true;
        }
        if (i == 0) {
            submit(patient_job("j", 1, 300ms));
        }
        timers.advance(300ms);
        for (const char* id : {"w0", "w1"}) {
            fleet.restart(id);
            fleet.fault(id).silent = false;
        }
        timers.advance(i == 0 ? 100ms : 3s);
    }
    BOOST_TEST(ended("j", job_end::completed));
    check_no_violation();
}

// Guards against a job that is sent again after its end, and starts to crash workers anew.
BOOST_AUTO_TEST_CASE(a_job_sent_again_after_its_workers_crashed_starts_nothing)
{
    add_workers(12);
    take_control();
    submit(patient_job("bad", 1));
    timers.advance(30s);
    const auto starts = fleet.starts_of("bad.0.0.0");
    outcomes.clear();
    submit(patient_job("bad", 1));
    timers.advance(30s);
    BOOST_TEST(ended("bad", job_end::unknown));
    BOOST_TEST(fleet.starts_of("bad.0.0.0") == starts);
}

// Guards against losses that stay undecided if the worker comes back under another id.
BOOST_AUTO_TEST_CASE(another_process_at_the_address_of_a_lost_worker_shows_a_crash)
{
    crash_ledger ledger(timers);
    BOOST_TEST(ledger.add({"j.0.0.0", "w1", 100, true, false}));
    BOOST_TEST(ledger.add({"j.0.0.0", "w2", 200, true, false}));
    BOOST_TEST(!ledger.verdict_on("j.0.0.0").may_start);
    BOOST_TEST(!ledger.verdict_on("j.0.0.0").is_cause);
    constexpr std::int64_t other_process = -1;
    BOOST_TEST(ledger.resolve("w1", other_process).size() == 1U);
    BOOST_TEST(ledger.resolve("w2", 201).size() == 1U);
    BOOST_TEST(ledger.verdict_on("j.0.0.0").is_cause);
}

// Guards against starts over a capacity that has shrunk while tasks run.
BOOST_AUTO_TEST_CASE(a_worker_whose_capacity_has_shrunk_gets_no_start_over_it)
{
    fleet.work = [](const std::string& name) {
        return duration{name.starts_with("long") ? 2s : 200ms};
    };
    add_workers(1);
    take_control();
    submit(patient_job("long", 1, 2s));
    submit(patient_job("short", 1));
    timers.advance(50ms);
    BOOST_REQUIRE(fleet.running("w0") == 2U);
    fleet.resize("w0", {1000, 1000, 0});
    controller->set_workers(fleet.reports());
    submit(patient_job("next", 1));
    timers.advance(1s);
    BOOST_TEST(fleet.starts_of("next.0.0.0") == 0U);
    fleet.resize("w0", two_cores);
    controller->set_workers(fleet.reports());
    timers.advance(100ms);
    BOOST_TEST(fleet.starts_of("next.0.0.0") == 1U);
    timers.advance(4s);
    BOOST_TEST(ended("next", job_end::completed));
    check_no_violation();
}

BOOST_AUTO_TEST_SUITE_END()
