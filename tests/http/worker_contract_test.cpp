#include "base/glib_timer_service.h"
#include "config/deployment.h"
#include "http/http_worker_client.h"
#include "loop.h"
#include "stand_in/worker_stand_in_client.h"
#include "stand_in/worker_stand_in_server.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace worker_contract {

// One worker, accessible in process or over HTTP.
struct fixture {
    glib_timer_service timers;
    std::shared_ptr<worker_stand_in> worker;
    std::unique_ptr<worker_stand_in_server> server;
    std::unique_ptr<worker_client> client;

    fixture(bool remote, worker_behaviour behaviour)
        : worker(std::make_shared<worker_stand_in>(timers, std::move(behaviour)))
    {
        if (!remote) {
            client = std::make_unique<worker_stand_in_client>(
                timers, worker_stand_in_client::workers{worker});
            return;
        }
        server = std::move(worker_stand_in_server::listen("127.0.0.1:0", timers, worker)).value();
        std::vector<worker_settings> workers(1);
        workers[0].address = server->address();
        workers[0].max_connections = 8;
        client = std::make_unique<http_worker_client>(timers, workers);
    }

    // Starts a task and appends its reply to `into`, which must outlive the event loop.
    void start(std::string_view id, std::vector<start_reply>& into, duration lease = 5s,
               duration time_left = 5s)
    {
        client->start(0, {id, "stamp_check", "payload \xC3\xA9 \"\n", lease, time_left},
                      [&into](start_reply reply) { into.push_back(std::move(reply)); });
    }
};

int code(start_status status)
{
    return static_cast<int>(status);
}

struct fault_case {
    const char* name;
    worker_fault fault;
    start_status expected;
};

std::ostream& operator<<(std::ostream& out, const fault_case& it)
{
    return out << it.name;
}

const fault_case fault_cases[] = {
    {"fails", worker_fault::fails_tasks, start_status::task_failed},
    {"never replies", worker_fault::never_replies, start_status::reply_lost},
    {"closes without a reply", worker_fault::closes, start_status::reply_lost},
    {"replies garbage", worker_fault::replies_garbage, start_status::reply_lost},
    {"replies for another task", worker_fault::replies_for_other, start_status::reply_lost},
};

const auto both = boost::unit_test::data::make({false, true});

} // namespace worker_contract

BOOST_AUTO_TEST_SUITE(worker_contract)

// Guards against payloads that are altered in transit and against lost load reports.
BOOST_DATA_TEST_CASE(task_completes, both, remote)
{
    fixture it(remote, {});
    std::vector<start_reply> ends;
    it.start("job.1/0", ends);
    BOOST_TEST(ends.empty());
    run_until([&] { return ends.size() == 1; });
    BOOST_TEST(code(ends[0].status) == code(start_status::completed));
    BOOST_TEST(ends[0].payload == "stamp_check:payload \xC3\xA9 \"\n");
    BOOST_TEST(ends[0].has_load);
    BOOST_TEST(ends[0].run_time.count() > 0);
    BOOST_TEST(it.worker->starts().at("job.1/0") == 1);
}

// Guards against treating a fault as proof that the task did not run, or as its result.
BOOST_DATA_TEST_CASE(faults, both* boost::unit_test::data::make(fault_cases), remote, row)
{
    worker_behaviour behaviour;
    behaviour.fault = row.fault;
    fixture it(remote, behaviour);
    std::vector<start_reply> ends;
    it.start("t", ends, 5s, 1ms);
    run_until([&] { return ends.size() == 1; });
    BOOST_TEST(code(ends[0].status) == code(row.expected));
    BOOST_TEST(it.worker->most_starts_of_a_task() == 1);
}

// Guards against a refusal of a task that ran: a full or draining worker must start nothing.
BOOST_DATA_TEST_CASE(refusals_are_certain, both, remote)
{
    worker_behaviour behaviour;
    behaviour.slots = 1;
    behaviour.max_queue = 0;
    behaviour.default_run_time = 1h;
    fixture it(remote, behaviour);
    std::vector<start_reply> first;
    std::vector<start_reply> second;
    it.start("a", first);
    run_until([&] { return it.worker->load().running == 1; });
    it.start("b", second);
    run_until([&] { return second.size() == 1; });
    BOOST_TEST(code(second[0].status) == code(start_status::refused_busy));
    BOOST_TEST(second[0].load.running == 1);
    behaviour.leaving = true;
    it.worker->set_behaviour(behaviour);
    it.start("c", second);
    run_until([&] { return second.size() == 2; });
    BOOST_TEST(code(second[1].status) == code(start_status::refused_leaving));
    BOOST_TEST(second[1].load.leaving);
    BOOST_TEST(it.worker->starts().size() == 1U);
    it.client->stop(0, "a");
    run_until([&] { return first.size() == 1; });
    BOOST_TEST(code(first[0].status) == code(start_status::stopped));
}

// Guards against a task that continues after its lease expired, and against a renewal that does not
// move the end of the lease.
BOOST_DATA_TEST_CASE(leases, both, remote)
{
    worker_behaviour behaviour;
    behaviour.default_run_time = 1h;
    fixture it(remote, behaviour);
    std::vector<start_reply> lapsed;
    it.start("a", lapsed, 1ms);
    run_until([&] { return lapsed.size() == 1; });
    BOOST_TEST(code(lapsed[0].status) == code(start_status::lease_lapsed));
    std::vector<start_reply> renewed;
    it.start("b/1", renewed, 1h);
    run_until([&] { return it.worker->load().running == 1; });
    it.client->renew(0, "b/1", 1ms); // a renewal sets the new end, here an early one
    run_until([&] { return renewed.size() == 1; });
    BOOST_TEST(code(renewed[0].status) == code(start_status::lease_lapsed));
}

// Guards against a worker id that has no address.
BOOST_DATA_TEST_CASE(unknown_worker, both, remote)
{
    fixture it(remote, {});
    std::vector<start_reply> ends;
    it.client->start(7, {"t", "k", "", 1s, 1s},
                     [&](const start_reply& reply) { ends.push_back(reply); });
    BOOST_TEST(ends.empty());
    run_until([&] { return ends.size() == 1; });
    BOOST_TEST(code(ends[0].status) == code(start_status::not_sent));
}

BOOST_AUTO_TEST_SUITE_END()
