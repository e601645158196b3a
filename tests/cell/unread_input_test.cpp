// Leases of jobs whose callers may have left, which their instance has not read yet.
#include "instances_fixture.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// A caller of a lost connection submits the job at another instance after this time (resendMs).
constexpr duration resend_delay = 1300ms;

// Input of a process that is never read to its end, as if the process got too little time for it.
// Its timers and its other descriptors are served.
class unread_input {
public:
    explicit unread_input(poller& events) : events_(events), descriptor_(eventfd(1, EFD_NONBLOCK))
    {
        events_.add(descriptor_, EPOLLIN,
                    [this](std::uint32_t ready) { events_.handle_again(descriptor_, ready); });
    }
    ~unread_input()
    {
        events_.remove(descriptor_);
        close(descriptor_);
    }
    unread_input(const unread_input&) = delete;
    unread_input& operator=(const unread_input&) = delete;

private:
    poller& events_;
    int descriptor_;
};

struct unread_input_fixture : instances_fixture {
    poller requester_events;

    unread_input_fixture()
    {
        fleet.work = [](const std::string&) { return duration{3s}; };
    }

    void submit_long_job(const std::string& name)
    {
        auto request = cell_fixture::job("j", 2, 3s);
        request.time_left = 10s;
        submit(name, request);
        BOOST_REQUIRE(run_until([&] { return fleet.total_starts() == 2; }, 1s));
    }

    bool is_running() const
    {
        return std::ranges::any_of(workers,
                                   [this](const auto& it) { return fleet.running(it.id) != 0; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(unread_callers, unread_input_fixture)

// Guards against a second run of a job that is renewed before its caller's end is read.
BOOST_AUTO_TEST_CASE(a_controller_that_does_not_read_its_callers_renews_none_of_their_jobs)
{
    start("a", 17460, "dc", 0, &requester_events);
    BOOST_REQUIRE(run_until([&] { return controller() == "a"; }, 2s));
    submit_long_job("a");
    const unread_input unread(requester_events);
    run_until([] { return false; }, resend_delay);
    BOOST_TEST(!is_running());
}

// Guards against the same where the job's requester is another instance.
BOOST_AUTO_TEST_CASE(an_instance_that_does_not_read_its_callers_renews_none_of_their_jobs)
{
    start("a", 17461);
    BOOST_REQUIRE(run_until([&] { return controller() == "a"; }, 2s));
    start("b", 17462, "dc", 0, &requester_events);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    submit_long_job("b");
    const unread_input unread(requester_events);
    run_until([] { return false; }, resend_delay);
    BOOST_TEST(!is_running());
}

// Guards against runs that lapse although their callers are read and wait.
BOOST_AUTO_TEST_CASE(jobs_whose_callers_are_read_run_to_their_end)
{
    start("a", 17463);
    BOOST_REQUIRE(run_until([&] { return controller() == "a"; }, 2s));
    start("b", 17464, "dc", 0, &requester_events);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    for (const std::string name : {"a", "b"}) {
        auto request = cell_fixture::job("of-" + name, 1, 3s);
        request.time_left = 10s;
        submit(name, request);
    }
    BOOST_TEST(run_until([&] { return completed("of-a") && completed("of-b"); }, 4s));
    BOOST_TEST(fleet.total_starts() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
