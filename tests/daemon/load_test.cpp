#include "daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace cactusloom;

BOOST_AUTO_TEST_SUITE(load)

// Guards against a daemon that crashes or loses requests once single requests and jobs overlap, as
// it did while two types of one namespace shared a name. Asks for full service, 32 calls at a time.
BOOST_AUTO_TEST_CASE(overlapping_requests_and_jobs_are_all_served)
{
    constexpr int calls = 400;
    constexpr int calls_at_a_time = 32;
    constexpr int calls_a_job = 5; // every fifth call submits a job
    daemon_fixture it;
    const auto& one = it.start("one");
    const auto prefix = it.prefix_of(one);
    int sent = 0;
    int completed = 0;
    int ended = 0;
    std::function<void()> send_next = [&] {
        const auto id = prefix + "." + std::to_string(sent);
        const bool is_job = sent++ % calls_a_job == 0;
        const auto body =
            is_job ? R"({"id":")" + id +
                         R"(","customer":"kiosk-01","kind":"pal_match","tasks":["a","b","c"]})"
                   : daemon_fixture::request(id);
        it.send("POST", one.address(), is_job ? "/v1/jobs?wait_ms=60000" : "/v1/requests", body,
                [&, is_job](const http_reply& reply) {
                    const auto found = daemon_fixture::to_answer(reply);
                    const bool accepted = is_job && found.status == 202;
                    completed += accepted || found.body["state"].asString() == "completed" ? 1 : 0;
                    ++ended;
                    if (sent < calls) {
                        send_next();
                    }
                });
    };
    for (int i = 0; i < calls_at_a_time; ++i) {
        send_next();
    }
    while (ended < calls) {
        g_main_context_iteration(nullptr, TRUE);
    }
    BOOST_TEST(completed == calls);
    for (int i = 0; i < calls; i += calls_a_job) {
        const auto id = prefix + "." + std::to_string(i);
        const auto found = it.ask("GET", one.address(), "/v1/jobs/" + id + "/answer?wait_ms=60000");
        BOOST_TEST(found.body["answers"].size() == 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
