#include "daemon_fixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace caller_faults {

struct bad_body {
    const char* name;
    const char* target;
    const char* body; // "ID" is replaced by a new id
    unsigned status;
};

std::ostream& operator<<(std::ostream& out, const bad_body& it)
{
    return out << it.name;
}

const char* const requests = "/v1/requests";
const char* const jobs = "/v1/jobs";

const bad_body bad_bodies[] = {
    {"empty body", requests, "", 400},
    {"not JSON", requests, "{", 400},
    {"text after the JSON", requests, R"({"id":"ID"} x)", 400},
    {"a list", requests, "[]", 400},
    {"a number", requests, "7", 400},
    {"no id", requests, R"({"customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"id without a suffix", requests,
     R"({"id":"x","customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"id with a line break", requests,
     R"({"id":"ID\n","customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"id of no instance", requests,
     R"({"id":"a~b~1~1~1.x","customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"id is a number", requests,
     R"({"id":5,"customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"unknown kind", requests, R"({"id":"ID","customer":"kiosk-01","kind":"nope","payload":"x"})",
     400},
    {"unknown customer", requests,
     R"({"id":"ID","customer":"nobody","kind":"stamp_check","payload":"x"})", 400},
    {"payload is a number", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":1})", 400},
    {"unknown field", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x","dedline_ms":5})", 400},
    {"field given twice", requests,
     R"({"id":"ID","id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"negative deadline", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x","deadline_ms":-1})",
     400},
    {"deadline of zero", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x","deadline_ms":0})",
     400},
    {"deadline above a minute", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x","deadline_ms":60001})",
     400},
    {"deadline beyond a long", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x","deadline_ms":1e300})",
     400},
    {"deadline is a text", requests,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x","deadline_ms":"5"})",
     400},
    {"empty job", jobs, R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","tasks":[]})",
     400},
    {"tasks are no list", jobs,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","tasks":{"0":"x"}})", 400},
    {"a task is no text", jobs,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","tasks":["x",null]})", 400},
    {"payload for a job", jobs,
     R"({"id":"ID","customer":"kiosk-01","kind":"stamp_check","payload":"x"})", 400},
    {"unknown resource", "/v1/nope", "{}", 404},
    {"wrong method", "/v1/status", "{}", 405},
};

std::string with_id(std::string text, const std::string& id)
{
    for (auto at = text.find("\"ID"); at != std::string::npos; at = text.find("\"ID", at + 1)) {
        text.replace(at + 1, 2, id);
    }
    return text;
}

} // namespace caller_faults

BOOST_AUTO_TEST_SUITE(caller_faults)

// Guards against a malformed submission that starts a task, crashes the daemon, or gets a reply
// without a state, a reason or a prefix. One instance serves all rows.
BOOST_AUTO_TEST_CASE(bad_submissions_start_nothing)
{
    daemon_fixture it;
    instance& one = it.start("one");
    int n = 0;
    for (const auto& row : bad_bodies) {
        BOOST_TEST_CONTEXT(row.name)
        {
            const std::string id = it.prefix_of(one) + ".s" + std::to_string(++n);
            const auto found = it.ask("POST", one.address(), row.target, with_id(row.body, id));
            BOOST_TEST(found.status == row.status);
            BOOST_TEST(found.body["state"].asString() == "failed_not_run");
            BOOST_TEST(!found.body["reason"].asString().empty());
            BOOST_TEST(!found.prefix.empty());
        }
    }
    std::string deep(5000, '[');
    BOOST_TEST(it.ask("POST", one.address(), requests, deep).status == 400U);
    const std::string id = it.prefix_of(one) + ".many";
    std::string many =
        R"({"id":")" + id + R"(","customer":"kiosk-01","kind":"stamp_check","tasks":[)";
    for (int task = 0; task < 701; ++task) {
        many += task == 0 ? "\"x\"" : ",\"x\"";
    }
    BOOST_TEST(it.ask("POST", one.address(), jobs, many + "]}").status == 413U);
    for (const auto& worker : it.workers) {
        BOOST_TEST(worker->starts().empty());
    }
    const auto good = it.ask("POST", one.address(), requests, daemon_fixture::request(id));
    BOOST_TEST(good.body["state"].asString() == "completed");
}

// Guards against a second start when a caller resubmits after waiting, after a disconnect, or with
// a different body (invariants 1 and 3).
BOOST_AUTO_TEST_CASE(resubmissions_start_nothing)
{
    daemon_fixture it;
    instance& one = it.start("one");
    worker_behaviour slow;
    slow.default_run_time = 1h;
    it.set_behaviour(slow);
    const std::string id = it.prefix_of(one) + ".s";
    {
        // This caller disconnects while it waits.
        http_client gone(it.timers, {});
        http_call call;
        call.method = "POST";
        call.address = one.address();
        call.target = requests;
        call.body = daemon_fixture::request(id);
        gone.send(call, [](const http_reply&) {});
        while (it.starts_of(id) == 0) {
            g_main_context_iteration(nullptr, TRUE);
        }
    }
    const auto joined =
        it.ask("POST", one.address(), "/v1/requests?wait_ms=1", daemon_fixture::request(id));
    BOOST_TEST(joined.status == 202U);
    BOOST_TEST(joined.body["state"].asString() == "running");
    const auto other =
        it.ask("POST", one.address(), requests, daemon_fixture::request(id, "other"));
    BOOST_TEST(other.status == 409U);
    BOOST_TEST(other.body["state"].asString() == "unknown");
    BOOST_TEST(it.starts_of(id) == 1);
    const auto status = it.ask("GET", one.address(), "/v1/jobs/" + id);
    BOOST_TEST(status.body["started"].asInt() == 1);
    // The cancelled task had started, so the job must not report that it did not run.
    it.ask("DELETE", one.address(), "/v1/jobs/" + id);
    const auto ended = it.ask("GET", one.address(), "/v1/jobs/" + id + "/answer?wait_ms=60000");
    BOOST_TEST(ended.body["state"].asString() != "failed_not_run");
    BOOST_TEST(ended.body["state"].asString() != "running");
    const auto again = it.ask("POST", one.address(), requests, daemon_fixture::request(id));
    BOOST_TEST(again.body["state"].asString() == ended.body["state"].asString());
    BOOST_TEST(it.starts_of(id) == 1);
}

struct worker_row {
    worker_fault fault;
    const char* state;
};

// Guards against an answer that claims more than a faulty worker proves.
BOOST_AUTO_TEST_CASE(worker_faults_reach_the_caller)
{
    const worker_row rows[] = {
        {worker_fault::closes, "unknown"},
        {worker_fault::replies_garbage, "unknown"},
        {worker_fault::replies_for_other, "unknown"},
        {worker_fault::never_replies, "unknown"},
        {worker_fault::fails_tasks, "failed_after_run"},
    };
    daemon_fixture it;
    instance& one = it.start("one");
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(to_string(row.fault))
        {
            worker_behaviour behaviour;
            behaviour.fault = row.fault;
            it.set_behaviour(behaviour);
            const std::string id = it.prefix_of(one) + "." + to_string(row.fault);
            std::string body = daemon_fixture::request(id);
            body.insert(body.size() - 1, R"(,"deadline_ms":300)");
            const auto found = it.ask("POST", one.address(), requests, body);
            BOOST_TEST(found.body["state"].asString() == row.state);
            BOOST_TEST(!found.body.isMember("answer"));
            BOOST_TEST(it.starts_of(id) == 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
