#include "cell_fixture.h"

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(takeover, cell_fixture)

// Guards against a concurrent second run of a task after its controller crashed: the next
// controller has to find the running tasks and take them over.
BOOST_AUTO_TEST_CASE(a_resumed_job_takes_over_its_running_tasks)
{
    add_workers(2);
    fleet.work = [](const std::string&) { return duration{400ms}; };
    take_control(1);
    submit(job("j", 3, 400ms));
    timers.advance(50ms);
    controller.reset(); // the process crashed and sent no stop
    take_control(2);
    auto again = job("j", 3, 400ms);
    again.resumed = true;
    submit(again);
    timers.advance(500ms);
    BOOST_TEST(ended("j", job_end::completed));
    BOOST_TEST(fleet.total_starts() == 3U);
    check_no_violation();
}

// Guards against starts on capacity that runs of an earlier controller still occupy: they go on
// until they are stopped.
BOOST_AUTO_TEST_CASE(runs_without_a_job_are_stopped_before_their_capacity_is_used)
{
    add_workers(1);
    fleet.work = [](const std::string&) { return duration{2s}; };
    take_control(1);
    submit(job("old", 2, 2s));
    timers.advance(50ms);
    controller.reset();
    take_control(2);
    submit(job("new", 2, 2s));
    timers.advance(1s);
    BOOST_TEST(fleet.starts_of("new.0.0.0") == 1U);
    BOOST_TEST(fleet.starts_of("new.0.0.1") == 1U);
    check_no_violation();
}

// Guards against commands of a controller that does not know of its successor.
BOOST_AUTO_TEST_CASE(a_controller_with_a_lower_token_is_fenced)
{
    add_workers(2);
    take_control(1);
    const auto old = std::move(controller);
    take_control(2);
    job_outcome outcome;
    bool answered = false;
    old->submit(job("j", 2), {{"requester"}}, [&](const job_outcome& it) {
        outcome = it;
        answered = true;
    });
    timers.advance(500ms);
    BOOST_TEST(fences >= 1U);
    BOOST_TEST(fleet.total_starts() == 0U);
    BOOST_TEST(!answered);
}

// Guards against a second run of a task that still runs on a worker that only the earlier
// controller reaches, as at the end of a network partition of a zone.
BOOST_AUTO_TEST_CASE(a_resumed_job_waits_while_a_worker_has_not_answered_the_claim)
{
    add_workers(2);
    fleet.work = [](const std::string&) { return duration{600ms}; };
    take_control(1);
    submit(job("j", 4, 600ms));
    timers.advance(50ms);
    controller.reset();
    fleet.fault("w0").silent = true;
    take_control(2);
    auto again = job("j", 4, 600ms);
    again.resumed = true;
    submit(again);
    timers.advance(3s);
    check_no_violation();
    BOOST_TEST(ended("j", job_end::completed));
}

// Guards against a second run of a task on a worker whose list entry expired during a network
// partition, so that even the newest list lacks it.
BOOST_AUTO_TEST_CASE(a_resumed_job_waits_while_the_list_lacks_workers)
{
    add_workers(3);
    set_short_tasks(4);
    take_control(1);
    submit(job("j", 6, 800ms));
    timers.advance(50ms);
    BOOST_REQUIRE(fleet.running("w2") == 2U);
    const auto all = fleet.reports();
    const auto used = controller->used_workers();
    move_control(std::span(all).first(2)); // they have capacity once the short tasks have ended
    check_resumed_job_waits(used, job("j", 6, 800ms));
}

// Guards against a check by the number of workers: a new worker is listed in place of the missing
// one, so that the number is as before.
BOOST_AUTO_TEST_CASE(a_resumed_job_waits_for_exactly_the_workers_that_were_used)
{
    add_workers(4);
    fleet.work = [](const std::string&) { return duration{800ms}; };
    const auto all = fleet.reports();
    take_control(1);
    controller->set_workers(std::span(all).first(3));
    submit(job("j", 6, 800ms));
    timers.advance(50ms);
    BOOST_REQUIRE(fleet.running("w2") == 2U);
    const auto used = controller->used_workers();
    const std::vector<worker_report> listed = {all[0], all[1], all[3]};
    move_control(listed);
    check_resumed_job_waits(used, job("j", 6, 800ms));
}

// Guards against requesters that do not know of a worker on which tasks were started just before a
// takeover: they have to be told before the start.
BOOST_AUTO_TEST_CASE(a_worker_is_announced_before_its_first_start)
{
    add_workers(2);
    const auto all = fleet.reports();
    take_control(1);
    controller->set_workers(std::span(all).first(1));
    worker_set announced;
    std::size_t unannounced_starts = 0;
    controller->on_used_workers_changed = [&] {
        unannounced_starts += fleet.running("w1");
        announced = controller->used_workers();
    };
    submit(job("a", 2));
    timers.advance(5ms);
    BOOST_TEST(fleet.total_starts() == 2U);
    controller->set_workers(all);
    submit(job("b", 2));
    timers.advance(20ms);
    BOOST_TEST(fleet.running("w1") == 2U);
    BOOST_TEST(announced.contains(worker_id_hash("w1")));
    BOOST_TEST(unannounced_starts == 0U);
}

// Guards against a second run of a task on a worker that is not in the list that the new controller
// has at its claim.
BOOST_AUTO_TEST_CASE(a_resumed_job_waits_for_a_list_that_is_newer_than_the_claim)
{
    add_workers(2);
    set_short_tasks(2);
    take_control(1);
    submit(job("j", 4, 800ms));
    timers.advance(50ms);
    BOOST_REQUIRE(fleet.running("w1") == 2U);
    controller.reset();
    controller = make_controller(1);
    controller->claim(2);
    timers.advance(20ms);
    submit(resumed(job("j", 4, 800ms)));
    timers.advance(200ms); // the short tasks have ended, so there is capacity
    BOOST_TEST(fleet.total_starts() == 4U);
    controller->set_workers(fleet.reports());
    timers.advance(20ms);
    controller->set_worker_list_time(timers.monotonic_now());
    timers.advance(2s);
    BOOST_TEST(ended("j", job_end::completed));
    BOOST_TEST(fleet.total_starts() == 4U);
    check_no_violation();
}

// Guards against a second run of a task that another controller started after this controller's
// last poll, as when the two sides of a network partition rejoin.
BOOST_AUTO_TEST_CASE(a_resumed_job_waits_for_polls_that_are_newer_than_itself)
{
    fleet.add("w0", {3000, 1000, 0});
    fleet.add("w1", two_cores); // the tighter fit, which the other controller does not reach
    set_short_tasks(0);
    take_control(2);
    timers.advance(100ms);
    const auto ours = std::move(controller);
    controller = make_controller(1);
    controller->claim(3);
    timers.advance(10ms);
    submit(job("j", 1));
    timers.advance(10ms);
    BOOST_REQUIRE(fleet.total_starts() == 1U);
    controller.reset();
    ours->submit(resumed(job("j", 1)), {{"requester"}}, [](const job_outcome&) {});
    timers.advance(400ms);
    BOOST_TEST(fleet.total_starts() == 1U);
    timers.advance(3s);
    check_no_violation();
}

// Guards against a second run beside an orphan whose stop is still under way, as after a network
// partition where the job was submitted again after the stop was sent.
BOOST_AUTO_TEST_CASE(a_task_waits_until_its_orphan_has_stopped)
{
    add_workers(2);
    fleet.work = [](const std::string&) { return duration{2s}; };
    take_control(1);
    submit(job("j", 1, 2s));
    timers.advance(50ms);
    controller.reset();
    const auto* holder = fleet.running("w0") == 1 ? "w0" : "w1";
    fleet.fault(holder).ignores_stops = true;
    take_control(2);
    timers.advance(200ms); // the stop has been sent
    auto again = resumed(job("j", 1, 2s));
    again.time_left = 10s;
    submit(again);
    timers.advance(300ms);
    BOOST_TEST(fleet.total_starts() == 1U);
    timers.advance(5s);
    check_no_violation();
    BOOST_TEST(ended("j", job_end::completed));
}

// Guards against a lease extension for runs whose lease the earlier controller takes as expired. In
// a partition that isolated a data centre the larger side had already started their tasks again.
BOOST_AUTO_TEST_CASE(the_lease_of_an_orphan_is_not_extended)
{
    add_workers(1);
    fleet.work = [](const std::string&) { return duration{5s}; };
    take_control(1);
    submit(job("j", 1, 5s));
    timers.advance(50ms);
    controller.reset();
    fleet.fault("w0").ignores_stops = true;
    const auto crashed_at = timers.monotonic_now();
    timers.advance(600ms);
    take_control(2);
    while (fleet.running("w0") != 0 && timers.monotonic_now() - crashed_at < 3s) {
        timers.advance(10ms);
    }
    BOOST_TEST((timers.monotonic_now() - crashed_at <= 1050ms));
}

// Guards against a completed job that runs again because its answer was lost.
BOOST_AUTO_TEST_CASE(a_completed_job_submitted_again_gets_its_former_answer)
{
    add_workers(2);
    take_control();
    submit(job("j", 2));
    timers.advance(300ms);
    BOOST_TEST(ended("j", job_end::completed));
    outcomes.clear();
    auto again = job("j", 2);
    again.resumed = true;
    submit(again);
    timers.advance(300ms);
    BOOST_TEST(ended("j", job_end::completed));
    BOOST_TEST(fleet.total_starts() == 2U);
}

// Guards against jobs that stay open at an instance that has released its cell.
BOOST_AUTO_TEST_CASE(release_answers_open_jobs_moved)
{
    add_workers(2);
    take_control(1);
    submit(job("j", 4, 800ms));
    timers.advance(20ms);
    controller->release();
    BOOST_TEST(ended("j", job_end::moved));
    submit(job("k", 1));
    BOOST_TEST(ended("k", job_end::moved));
}

BOOST_AUTO_TEST_SUITE_END()
