#include "dispatch_fixture.h"

#include <functional>

using namespace cactusloom;
using namespace cactusloom::dispatch_test;

namespace {

using status = start_status;

job_state state_of(fixture& it, const std::string& id)
{
    return it.answers[id].empty() ? job_state::running : it.answers[id].front().state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatching)

// Each row scripts the replies to the starts of one task and the expected answer. Guards against
// unwanted second starts, a wrong "not run", and lost or duplicate answers.
BOOST_AUTO_TEST_CASE(one_task_under_each_fault)
{
    struct row {
        const char* what;
        const char* kind;
        std::vector<behaviour> script;
        job_state expected;
        std::size_t starts;
        std::uint64_t late_replies = 0;
    };
    const behaviour good = ok(50ms);
    const row rows[] = {
        {"completed", "once", {good}, complete, 1},
        {"busy, then completed", "once", {busy(1ms), good}, complete, 2},
        {"leaving, then completed", "once", {{status::refused_leaving, 1ms}, good}, complete, 2},
        {"not sent, then completed", "once", {{status::not_sent, 1ms}, good}, complete, 2},
        {"always busy", "once", {busy(1ms)}, not_run, 5},
        {"busy until the deadline", "once", {busy(1100ms)}, not_run, 2},
        {"busy, last reply after the grace", "once", {busy(900ms)}, unknown, 3, 1},
        {"task failed", "once", {failed(5ms), good}, after_run, 1},
        {"task failed, second start allowed", "twice", {failed(5ms), good}, after_run, 1},
        {"lease lapsed", "once", {{status::lease_lapsed, 5ms}, good}, after_run, 1},
        {"stopped by the platform", "idem", {{status::stopped, 5ms}, good}, after_run, 1},
        {"reply lost, ran", "once", {lost(5ms), good}, unknown, 1},
        {"reply lost, did not run", "once", {lost(5ms, false), good}, unknown, 1},
        {"reply lost, idempotent", "idem", {lost(5ms), good}, unknown, 1},
        {"reply lost, second start, no message budget yet", "twice", {lost(5ms), good}, unknown, 1},
        {"busy, then reply lost", "once", {busy(1ms), lost(5ms), good}, unknown, 2},
        {"status of no known version", "once", {{static_cast<status>(99), 5ms}, good}, unknown, 1},
        {"reply comes twice", "once", {ok(50ms, 2)}, complete, 1, 1},
        {"busy comes twice", "once", {busy(1ms, 2), good}, complete, 2, 1},
        {"reply within the grace", "once", {ok(2100ms)}, complete, 1},
        {"reply after the grace", "once", {ok(2500ms)}, unknown, 1, 1},
        {"refusal after the grace", "once", {busy(2500ms)}, unknown, 1, 1},
    };
    for (const row& it : rows) {
        fixture f;
        f.client.script = it.script;
        f.client.ignores_stops = true;
        const auto job = f.request(it.kind);
        BOOST_TEST(f.send(job).has_value(), it.what);
        f.timers.advance(10s);
        BOOST_TEST((state_of(f, job.id) == it.expected), it.what);
        BOOST_TEST(f.answers[job.id].size() == 1U, it.what);
        BOOST_TEST(f.client.starts == it.starts, it.what);
        BOOST_TEST(f.count("late_replies") == it.late_replies, it.what);
        f.check(it.what);
    }
}

// Guards against a duplicate reply that is taken for the reply to the next request.
BOOST_AUTO_TEST_CASE(duplicate_reply_does_not_answer_the_next_request)
{
    fixture f;
    f.client.script = {ok(50ms, 2), ok(100ms)};
    const auto first = f.request("once");
    const auto second = f.request("once");
    BOOST_TEST(f.send(first).has_value());
    f.timers.advance(50500us); // between the two replies
    BOOST_TEST(f.send(second).has_value());
    f.timers.advance(5s);
    BOOST_TEST((state_of(f, second.id) == complete));
    BOOST_TEST(f.count("late_replies") == 1U);
    f.check("repeated reply");
}

// Each row cancels a job of three tasks, on one worker with two slots, or shuts down at a given
// time. Guards against partial or incorrect answers.
BOOST_AUTO_TEST_CASE(cancel_or_shutdown_of_a_running_job)
{
    struct row {
        const char* what;
        duration at;
        std::function<void(fixture&, const std::string&)> act;
        job_state expected;
        std::size_t starts;
        bool ignores_stops = false;
    };
    const auto cancel = [](fixture& f, const std::string& id) {
        BOOST_TEST(f.service->cancel(id).has_value());
    };
    const auto shut_down = [](fixture& f, const std::string& /*id*/) {
        f.service->shut_down([] {});
    };
    const row rows[] = {
        {"cancelled while all run or wait", 10ms, cancel, after_run, 2},
        {"cancelled, stops ignored", 10ms, cancel, after_run, 2, true},
        {"cancelled while the last runs", 120ms, cancel, after_run, 3},
        {"cancelled after the end", 300ms, cancel, complete, 3},
        {"shut down while running", 10ms, shut_down, complete, 3},
    };
    for (const row& it : rows) {
        fixture f{1};
        f.task_router.slots = 2;
        f.client.script = {ok(100ms)};
        f.client.ignores_stops = it.ignores_stops;
        const auto job = f.request("once", 3);
        BOOST_TEST(f.send(job).has_value());
        f.timers.advance(it.at);
        it.act(f, job.id);
        f.timers.advance(10s);
        BOOST_TEST((state_of(f, job.id) == it.expected), it.what);
        BOOST_TEST(f.client.starts == it.starts, it.what);
        f.check(it.what);
    }
}

// Guards against tasks of a cancelled job that still start, and against reporting them as run.
BOOST_AUTO_TEST_CASE(cancel_before_start_never_starts)
{
    fixture f{1};
    f.task_router.slots = 0;
    const auto job = f.request("once", 3);
    BOOST_TEST(f.send(job).has_value());
    BOOST_TEST(f.service->cancel(job.id).has_value());
    BOOST_TEST(f.service->queued_tasks() == 0U);
    f.task_router.slots = 8;
    f.timers.advance(1s);
    BOOST_TEST((state_of(f, job.id) == not_run));
    BOOST_TEST(f.client.starts == 0U);
    f.check("cancel before start");
}

// Guards against queued tasks that start after their deadline, and against a start request that
// does not subtract the time in the queue from the time left.
BOOST_AUTO_TEST_CASE(deadline_is_enforced_and_passed_to_workers)
{
    fixture f{1};
    f.task_router.slots = 1;
    f.client.script = {ok(300ms)};
    const auto first = f.request("once", 1, 1s);
    const auto second = f.request("once", 1, 400ms);
    const auto third = f.request("once", 1, 500ms);
    for (const auto* it : {&first, &second, &third}) {
        BOOST_TEST(f.send(*it).has_value());
    }
    f.timers.advance(502ms);
    BOOST_TEST((state_of(f, third.id) == not_run));
    f.timers.advance(5s);
    BOOST_TEST((state_of(f, second.id) == complete));
    BOOST_TEST((f.client.times_left == std::vector<duration>{1s, 100ms}));
    f.check("deadline");
}

// Each row submits twice, with a change in between. Guards against a second run and against the
// answer of another submission.
BOOST_AUTO_TEST_CASE(resubmission)
{
    struct row {
        const char* what;
        duration pause; // between the two submissions
        std::function<void(fixture&, submission_request&)> change;
        std::optional<errc> expected;
        std::size_t starts;
    };
    const auto same = [](fixture& /*f*/, submission_request& /*it*/) {};
    const auto new_suffix = [](fixture& /*f*/, submission_request& it) { it.id += "x"; };
    const auto other_body = [](fixture& /*f*/, submission_request& it) { it.payloads[0] += "x"; };
    const auto moved_bytes = [](fixture& /*f*/, submission_request& it) {
        it.payloads = {it.payloads[0] + it.payloads[1], ""};
    };
    const auto mangled = [](fixture& /*f*/, submission_request& it) { it.id[0] = 'x'; };
    const auto restarted = [](fixture& f, submission_request& /*it*/) { f.service = f.make(2); };
    const auto shut_down = [](fixture& f, submission_request& /*it*/) {
        f.service->shut_down([] {});
    };
    const row rows[] = {
        {"same while running", 10ms, same, std::nullopt, 2},
        {"same when finished", 1s, same, std::nullopt, 2},
        {"same, shorter deadline", 10ms,
         [](fixture& /*f*/, submission_request& it) { it.deadline = 500ms; }, std::nullopt, 2},
        {"same at the end of the retention", 60s, same, std::nullopt, 2},
        {"same after the retention", 65s, same, errc::not_found, 2},
        {"same after the prefix expired", 130s, same, errc::not_found, 2},
        {"other body while running", 10ms, other_body, errc::conflict, 2},
        {"bytes moved between payloads", 10ms, moved_bytes, errc::conflict, 2},
        {"other body after the retention", 65s, other_body, errc::conflict, 2},
        {"other id, expired prefix", 121s, new_suffix, errc::not_found, 2},
        {"other id, valid prefix", 119s, new_suffix, std::nullopt, 4},
        {"mangled id", 10ms, mangled, errc::invalid_argument, 2},
        {"id of an earlier incarnation", 1s, restarted, errc::not_found, 2},
        {"same while shutting down", 10ms, shut_down, std::nullopt, 2},
        {"other id while shutting down", 10ms,
         [](fixture& f, submission_request& it) {
             f.service->shut_down([] {});
             it.id += "x";
         },
         errc::unavailable, 2},
    };
    for (const row& it : rows) {
        fixture f;
        auto job = f.request("once", 2);
        BOOST_TEST(f.send(job).has_value(), it.what);
        f.timers.advance(it.pause);
        it.change(f, job);
        const auto outcome = f.send(job);
        BOOST_TEST(((outcome ? std::nullopt : std::optional{outcome.error().code}) == it.expected),
                   it.what);
        f.timers.advance(10s);
        BOOST_TEST(f.client.starts == it.starts, it.what);
        f.check(it.what);
    }
}

// Each row is a submission that must be refused at once with a reason. Guards against accepted jobs
// that can never complete, and against state left behind by a refusal.
BOOST_AUTO_TEST_CASE(refusals)
{
    struct row {
        const char* what;
        std::function<void(fixture&, submission_request&)> change;
        errc expected;
        const char* reason;
    };
    const row rows[] = {
        {"kind", [](auto&, auto& it) { it.kind = "none"; }, errc::invalid_argument, "kind"},
        {"customer", [](auto&, auto& it) { it.customer = "x"; }, errc::invalid_argument,
         "customer"},
        {"empty", [](auto&, auto& it) { it.payloads.clear(); }, errc::invalid_argument, "700"},
        {"701", [](auto&, auto& it) { it.payloads.resize(701); }, errc::invalid_argument, "700"},
        {"late", [](auto&, auto& it) { it.deadline = 61s; }, errc::invalid_argument, "60000"},
        {"negative", [](auto&, auto& it) { it.deadline = -1s; }, errc::invalid_argument, "60000"},
        {"never", [](auto& f, auto&) { f.task_router.runnable = false; }, errc::invalid_argument,
         "ever"},
        {"overload",
         [](auto& f, auto& it) {
             f.task_router.wait_per_task = 1s;
             it.payloads.resize(5);
         },
         errc::unavailable, "overload"},
    };
    for (const row& it : rows) {
        fixture f;
        auto job = f.request("once");
        it.change(f, job);
        const auto outcome = f.service->submit(job);
        BOOST_REQUIRE(!outcome.has_value());
        BOOST_TEST((outcome.error().code == it.expected), it.what);
        BOOST_TEST(outcome.error().message.find(it.reason) != std::string::npos, it.what);
        f.timers.advance(3s);
        BOOST_TEST(f.client.starts == 0U, it.what);
        f.check(it.what);
    }
}

// Guards against a new configuration that changes the kind, team or settings of accepted jobs.
BOOST_AUTO_TEST_CASE(new_configuration_keeps_running_jobs)
{
    fixture f{1};
    f.task_router.slots = 1;
    const auto job = f.request("once", 3, 5s, "ben");
    BOOST_TEST(f.send(job).has_value());
    auto next = fixture::base();
    next.kinds[0].retired = true;
    next.teams = {{"c", 2.0, 0}, {"b", 1.0, 1}};
    next.customers = {{"ben", "c"}, {"cia", "b"}};
    f.service->apply(next);
    BOOST_TEST(!f.service->submit(f.request("once", 1, 5s, "ben")).has_value());
    BOOST_TEST(!f.service->submit(f.request("idem")).has_value());
    BOOST_TEST(f.send(f.request("idem", 2, 5s, "cia")).has_value());
    f.timers.advance(5s);
    BOOST_TEST((state_of(f, job.id) == complete));
    BOOST_TEST(f.count("jobs_completed") == 2U);
    f.check("new document");
}

BOOST_AUTO_TEST_SUITE_END()
