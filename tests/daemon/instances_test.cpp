#include "daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace instances {

void run_loop_until(const std::function<bool()>& done)
{
    while (!done()) {
        g_main_context_iteration(nullptr, TRUE);
    }
}

bool knows(daemon_fixture& it, const instance& who, const std::string& name, const char* state)
{
    const auto found = it.ask("GET", who.address(), "/v1/status");
    for (const auto& member : found.body["members"]) {
        if (member["name"].asString() == name) {
            return member["state"].asString() == state;
        }
    }
    return false;
}

} // namespace instances

BOOST_AUTO_TEST_SUITE(instances)

// Guards against a second start when a caller's requests reach different instances, and against an
// instance that answers for an id that it does not own.
BOOST_AUTO_TEST_CASE(two_instances_serve_the_same_callers)
{
    daemon_fixture it;
    instance& one = it.start("one");
    instance& two = it.start("two");
    run_loop_until(
        [&] { return knows(it, two, "one", "alive") && knows(it, one, "two", "alive"); });
    const std::string id = it.prefix_of(one) + ".s";
    const auto forwarded =
        it.ask("POST", two.address(), "/v1/requests", daemon_fixture::request(id));
    BOOST_TEST(forwarded.body["state"].asString() == "completed");
    BOOST_TEST(forwarded.body["answer"].asString() == "stamp_check:letter");
    BOOST_TEST(forwarded.prefix.starts_with("two~"));
    const auto direct = it.ask("POST", one.address(), "/v1/requests", daemon_fixture::request(id));
    BOOST_TEST(direct.body["answer"].asString() == "stamp_check:letter");
    BOOST_TEST(it.ask("GET", two.address(), "/v1/jobs/" + id).body["finished"].asInt() == 1);
    BOOST_TEST(it.starts_of(id) == 1);

    // After the owner is destroyed its ids are unknown elsewhere and start nothing.
    const std::string late = it.prefix_of(one) + ".late";
    it.instances.front().reset();
    const auto lost = it.ask("POST", two.address(), "/v1/requests", daemon_fixture::request(late));
    BOOST_TEST(lost.status == 404U);
    BOOST_TEST(lost.body["state"].asString() == "unknown");
    BOOST_TEST(lost.prefix.starts_with("two~"));
    BOOST_TEST(it.starts_of(late) == 0);

    // A restarted instance of the same name does not own the ids of its predecessor.
    instance& again = it.start("one");
    const auto old = it.ask("POST", again.address(), "/v1/requests", daemon_fixture::request(id));
    BOOST_TEST(old.body["state"].asString() == "unknown");
    BOOST_TEST(it.starts_of(id) == 1);
}

// Guards against two instances that forward a request to each other endlessly.
BOOST_AUTO_TEST_CASE(a_request_is_forwarded_once)
{
    daemon_fixture it;
    it.start("one");
    instance& two = it.start("two");
    run_loop_until([&] { return knows(it, two, "one", "alive"); });
    const std::string id = it.prefix_of(*it.instances.front()) + ".s";
    http_call call;
    call.method = "POST";
    call.address = two.address();
    call.target = "/v1/requests";
    call.headers = {{"Cactusloom-Forwarded-By", "three"}};
    call.body = daemon_fixture::request(id);
    daemon_fixture::answer found;
    it.client.send(call,
                   [&](const http_reply& reply) { found = daemon_fixture::to_answer(reply); });
    run_loop_until([&] { return found.status != 0; });
    BOOST_TEST(found.body["state"].asString() == "unknown");
    BOOST_TEST(it.starts_of(id) == 0);
}

// Guards against a document that takes effect only after a restart, and against an edit of a
// section by a team that does not own it.
BOOST_AUTO_TEST_CASE(new_document_takes_effect)
{
    daemon_fixture it;
    instance& one = it.start("one");
    instance& two = it.start("two");
    const auto config = it.ask("GET", one.address(), "/v1/config");
    Json::Value edit(Json::objectValue);
    for (const auto& section : config.body["sections"]) {
        if (section["name"].asString() == "customers") {
            edit["content"] = "[customers]\nlist = [ { id = \"new-1\", team = \"kiosks\" } ]\n";
            edit["base_version"] = section["version"];
        }
    }
    edit["id"] = "edit-1";
    edit["section"] = "customers";
    edit["author"] = "dispatch";
    const auto refused = it.ask("POST", one.address(), "/v1/config/edits", write_json(edit));
    BOOST_TEST(refused.body["verdict"].asString() == "not_owner");
    edit["id"] = "edit-2";
    edit["author"] = "accounts";
    const auto accepted = it.ask("POST", one.address(), "/v1/config/edits", write_json(edit));
    BOOST_TEST(accepted.body["verdict"].asString() == "accepted", accepted.text);
    for (const instance* who : {&one, &two}) {
        std::string state;
        int n = 0;
        while (state != "completed") {
            const std::string id = it.prefix_of(*who) + ".c" + std::to_string(++n);
            const std::string body =
                R"({"id":")" + id + R"(","customer":"new-1","kind":"stamp_check","payload":"x"})";
            state = it.ask("POST", who->address(), "/v1/requests", body).body["state"].asString();
        }
    }
    const auto history = it.ask("GET", two.address(), "/v1/config/history");
    BOOST_TEST(history.body["changes"].size() == 3U);
}

// Guards against a shutdown that aborts running requests or accepts new ones (invariant 7).
BOOST_AUTO_TEST_CASE(shutdown_finishes_what_is_running)
{
    daemon_fixture it;
    instance& one = it.start("one");
    worker_behaviour slow;
    slow.default_run_time = 300ms;
    it.set_behaviour(slow);
    const std::string prefix = it.prefix_of(one);
    daemon_fixture::answer running;
    it.send("POST", one.address(), "/v1/requests", daemon_fixture::request(prefix + ".s"),
            [&](const http_reply& reply) { running = daemon_fixture::to_answer(reply); });
    run_loop_until([&] { return it.starts_of(prefix + ".s") == 1; });
    bool stopped = false;
    one.shut_down([&] { stopped = true; });
    const auto refused =
        it.ask("POST", one.address(), "/v1/requests", daemon_fixture::request(prefix + ".t"));
    BOOST_TEST(refused.body["state"].asString() == "failed_not_run");
    BOOST_TEST(it.ask("GET", one.address(), "/v1/ready").status == 503U);
    run_loop_until([&] { return stopped; });
    BOOST_TEST(running.body["state"].asString() == "completed");
    BOOST_TEST(it.starts_of(prefix + ".t") == 0);
}

// Guards against requests that depend on the log or the instance list: both are down here.
BOOST_AUTO_TEST_CASE(requests_are_served_without_the_platform)
{
    daemon_fixture it;
    instance& one = it.start("one");
    it.log.set_silent(true);
    it.list.set_down(true);
    const std::string id = it.prefix_of(one) + ".s";
    const auto found = it.ask("POST", one.address(), "/v1/requests", daemon_fixture::request(id));
    BOOST_TEST(found.body["state"].asString() == "completed");
    BOOST_TEST(it.ask("GET", one.address(), "/v1/metrics").text.find("jobs_completed 1") !=
               std::string::npos);
}

// Guards against an instance that accepts requests before it has a configuration.
BOOST_AUTO_TEST_CASE(not_ready_without_a_document)
{
    daemon_fixture it;
    it.log.set_silent(true);
    const auto made = instance::start(it.settings("one"), it.timers);
    const auto& one = *made.value();
    BOOST_TEST(it.ask("GET", one.address(), "/v1/ready").status == 503U);
    const auto refused = it.ask("POST", one.address(), "/v1/requests",
                                daemon_fixture::request(it.prefix_of(one) + ".s"));
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.body["state"].asString() == "failed_not_run");
}

// Guards against a start with an address in use, an invalid document or an unknown worker mode.
BOOST_AUTO_TEST_CASE(start_faults)
{
    daemon_fixture it;
    instance& one = it.start("one");
    auto settings = it.settings("two");
    settings.listen = one.address();
    BOOST_TEST(static_cast<int>(instance::start(settings, it.timers).error().code) ==
               static_cast<int>(errc::unavailable));
    settings = it.settings("two");
    settings.config = "/nonexistent";
    BOOST_TEST(!instance::start(settings, it.timers));
    std::ofstream(it.document_path) << "[owners]\n";
    BOOST_TEST(!instance::start(it.settings("two"), it.timers));
    settings.config = "";
    settings.worker_mode = "telepathy";
    BOOST_TEST(!instance::start(settings, it.timers));
}

BOOST_AUTO_TEST_SUITE_END()
