// Agreement of instances on the jobs that one has asked another for.
#include "black_hole_port.h"
#include "cell/mesh_codec.h"
#include "http/json_text.h"
#include "instances_fixture.h"
#include "json_mutation.h"

#include <optional>

using namespace cactusloom;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(requesters, instances_fixture)

// Guards against the jobs of a killed instance running on because the process that replaces it is
// heard from under the same name; its callers send them again, in another cell.
BOOST_AUTO_TEST_CASE(the_jobs_of_a_restarted_requester_end_before_its_callers_return_elsewhere)
{
    fleet.work = [](const std::string&) { return duration{1600ms}; };
    split_workers();
    start("a", 17413);
    start("b", 17414);
    start("c", 17415, "dc-2");
    BOOST_REQUIRE(run_until(
        [&] { return !controller_of("dc").empty() && controller_of("dc-2") == "c"; }, 4s));
    run_until([] { return false; }, 300ms); // for all links and claims to be known
    const std::string requester = controller_of("dc") == "a" ? "b" : "a";
    submit(requester, cell_fixture::job("j", 2, 1600ms));
    BOOST_REQUIRE(run_until([&] { return fleet.total_starts() == 2; }, 1s));

    stop(requester);
    run_until([] { return false; }, 400ms);
    start(requester, requester == "a" ? 17413 : 17414);
    run_until([] { return false; }, 900ms);
    submit("c", cell_fixture::job("j", 2, 1600ms));
    BOOST_TEST(run_until([&] { return fleet.total_starts() == 4; }, 300ms));
    for (const auto& it : fleet.violations()) {
        BOOST_ERROR(it);
    }
}

// Guards against a submission that is read only after its process has been replaced: nobody waits
// for its outcome, and its caller may have sent the job elsewhere.
BOOST_AUTO_TEST_CASE(a_submission_of_a_replaced_process_starts_nothing)
{
    start("a", 17416);
    start("b", 17417);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    const auto owner = controller();
    const std::string name = owner == "a" ? "b" : "a";
    auto successor = addresses[name];
    successor.address = "127.0.0.1:17418";
    ++successor.incarnation;
    instance_mesh replacement(events, timers, successor);
    BOOST_REQUIRE(replacement.listen(successor.address));
    replacement.update_instances({addresses[owner]});
    const auto& former = *members[name].mesh;
    BOOST_REQUIRE(
        run_until([&] { return members[owner].mesh->is_replaced(former.own_process()); }, 1s));
    Json::Value message;
    message["t"] = "submit";
    message["cell"] = std::string(all_workers_cell);
    message["job"] = encode_job(cell_fixture::job("late", 1));
    BOOST_REQUIRE(members[name].mesh->send(owner, message));
    run_until([] { return false; }, 300ms);
    BOOST_TEST(fleet.total_starts() == 0U);
}

// Guards against a controller whose process ends because of a message of an odd form.
BOOST_AUTO_TEST_CASE(a_controller_survives_mutated_messages_of_a_peer)
{
    start("a", 17419);
    start("b", 17420);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    const auto owner = controller();
    const std::string peer = owner == "a" ? "b" : "a";
    Json::Value submit_message;
    submit_message["t"] = "submit";
    submit_message["cell"] = std::string(all_workers_cell);
    submit_message["submission"] = 1;
    submit_message["as_of"] = 1;
    submit_message["job"] = encode_job(cell_fixture::job("j", 1));
    Json::Value outcome_message;
    outcome_message["t"] = "outcome";
    outcome_message["id"] = "j";
    outcome_message["outcome"] = encode_outcome({job_end::completed});
    Json::Value loss_message;
    loss_message["t"] = "worker_lost";
    loss_message["loss"] = encode_loss({"j.0.0.0", "w0", 5, true, false});
    Json::Value abandon_message;
    abandon_message["t"] = "abandon";
    abandon_message["id"] = "j";
    abandon_message["cell"] = std::string(all_workers_cell);
    const auto state_message = parse_json(
        R"({"t":"ping","number":4,"claims":[{"cell":"dc","token":3,"workers":[1]}],"config":2})");
    const Json::Value messages[] = {submit_message, outcome_message, loss_message, abandon_message,
                                    state_message.value()};
    json_mutator mutator(33);
    for (int i = 0; i < 1000; ++i) {
        members[peer].mesh->send(owner, mutator.mutate(messages[mutator.below(5)]));
        if (i % 50 == 0) {
            run_until([] { return false; }, 5ms);
        }
    }
    submit(peer, cell_fixture::job("after", 1));
    BOOST_TEST(run_until([&] { return outcomes.contains("after"); }, 5s));
}

// Guards against a submission that is read only after its link has been replaced: the process has
// given the job up, or has submitted it again.
BOOST_AUTO_TEST_CASE(a_submission_on_a_replaced_link_starts_nothing)
{
    start("a", 17440);
    BOOST_REQUIRE(run_until([&] { return controller() == "a"; }, 2s));
    const instance_address requester{"b", "127.0.0.1:17443", "dc", 1.0, 7};
    const auto open_link = [&](int number) {
        auto stream = tcp_stream::connect(events, addresses["a"].address);
        BOOST_REQUIRE(stream);
        auto link = std::make_unique<frame_link>(stream.value());
        bool connected = false;
        link->on_connected = [&connected] { connected = true; };
        BOOST_REQUIRE(run_until([&] { return connected; }, 1s));
        Json::Value ping;
        ping["t"] = "ping";
        ping["from"] = encode_instance(requester);
        ping["link"] = number;
        link->send(write_json(ping));
        run_until([] { return false; }, 20ms);
        return link;
    };
    const auto former = open_link(1);
    const auto newest = open_link(2);
    Json::Value message;
    message["t"] = "submit";
    message["cell"] = std::string(all_workers_cell);
    message["job"] = encode_job(cell_fixture::job("late", 1));
    former->send(write_json(message));
    run_until([] { return false; }, 100ms);
    BOOST_TEST(fleet.total_starts() == 0U);
    newest->send(write_json(message));
    BOOST_TEST(run_until([&] { return fleet.total_starts() == 1; }, 300ms));
}

// Guards against a second run of a job whose lost controller went on renewing leases.
BOOST_AUTO_TEST_CASE(the_runs_of_a_lost_controller_end_before_its_jobs_are_sent_elsewhere)
{
    fleet.work = [](const std::string&) { return duration{3s}; };
    split_workers();
    start("b", 17444, "dc", 17445);
    // No other instance can claim the cell of b, so the job has to go to another one.
    std::erase_if(workers, [](const auto& it) { return it.data_centre == "dc"; });
    for (int i = 0; i < 130; ++i) {
        workers.push_back(fleet.add(fmt::format("far-{}", i), cell_fixture::two_cores));
        workers.back().data_centre = "dc-2";
    }
    start("a", 17446);
    start("c", 17447, "dc-2");
    BOOST_REQUIRE(
        run_until([&] { return controller_of("dc") == "b" && controller_of("dc-2") == "c"; }, 4s));
    run_until([] { return false; }, 300ms); // for all links and claims to be known
    auto request = cell_fixture::job("j", 2, 3s);
    request.time_left = 10s;
    submit("a", request);
    BOOST_REQUIRE(run_until([&] { return fleet.total_starts() == 2; }, 1s));

    relays.erase("b");
    black_hole_port unreachable(17445);
    run_until([] { return false; }, 500ms);
    members["b"].cells->leave();
    BOOST_TEST(run_until([&] { return fleet.total_starts() == 4; }, 2s));
    for (const auto& it : fleet.violations()) {
        BOOST_ERROR(it);
    }
}

// Guards against a job that runs on after a 504, as heartbeats for other jobs renew it.
BOOST_AUTO_TEST_CASE(a_job_whose_second_submission_is_refused_does_not_run_on)
{
    fleet.work = [](const std::string&) { return duration{5s}; };
    start("a", 17465);
    start("b", 17466);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    const auto owner = controller();
    const std::string requester = owner == "a" ? "b" : "a";
    submit(requester, cell_fixture::job("j", 2, 5s));
    BOOST_REQUIRE(run_until([&] { return fleet.total_starts() == 2; }, 1s));
    auto& owner_mesh = *members[owner].mesh;
    bool is_late = true; // in reading submissions
    owner_mesh.on_message =
        [&is_late, fn = owner_mesh.on_message](const peer_link& from, const Json::Value& message,
                                               const instance_mesh::sender& reply) {
            auto delayed = message;
            if (is_late && delayed["t"] == "submit") {
                delayed["as_of"] = delayed["as_of"].asInt64() - 2000;
            }
            fn(from, delayed, reply);
        };
    const std::string silent_to[] = {owner};
    members[requester].mesh->on_own_silence(silent_to);
    BOOST_REQUIRE(run_until([&] { return outcomes.contains("j"); }, 1s));
    is_late = false;
    submit(requester, cell_fixture::job("other", 2, 5s));
    run_until([] { return false; }, 1300ms); // resendMs
    std::size_t running = 0;
    for (const auto& it : workers) {
        running += fleet.running(it.id);
    }
    BOOST_TEST(running == 2U); // those of the other job
}

// Guards against jobs that run on although nobody waits for them, because the message that gives
// them up is lost with a link: one that is reset, and one that goes silent.
BOOST_AUTO_TEST_CASE(a_job_given_up_on_a_lost_link_ends)
{
    fleet.work = [](const std::string&) { return duration{5s}; };
    start("b", 17425, "dc", 17426);
    BOOST_REQUIRE(run_until([&] { return controller() == "b"; }, 2s));
    start("a", 17427);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    struct row {
        const char* job;
        bool silent;
        duration limit; // silence is noticed after 0.6 s
    };
    for (const auto& it : {row{"reset", false, 600ms}, row{"silent", true, 1500ms}}) {
        const auto running = [this] {
            return std::ranges::any_of(workers,
                                       [this](const auto& w) { return fleet.running(w.id) != 0; });
        };
        submit("a", cell_fixture::job(it.job, 2, 5s));
        BOOST_REQUIRE(run_until(running, 1s));
        if (it.silent) {
            relays["b"]->blackhole_open_connections();
        }
        else {
            relays["b"]->close_open_connections();
        }
        members["a"].cells->abandon(it.job);
        BOOST_TEST(run_until([&] { return !running(); }, it.limit), it.job);
        run_until([] { return false; }, 500ms);
    }
}

// Guards against a job that is still wanted being stopped, or started twice, when its link is
// reset.
BOOST_AUTO_TEST_CASE(a_job_that_is_still_wanted_runs_on_after_its_link_is_reset)
{
    fleet.work = [](const std::string&) { return duration{900ms}; };
    start("b", 17428, "dc", 17429);
    BOOST_REQUIRE(run_until([&] { return controller() == "b"; }, 2s));
    start("a", 17430);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    submit("a", cell_fixture::job("j", 2, 900ms));
    BOOST_REQUIRE(run_until([&] { return fleet.total_starts() == 2; }, 1s));
    relays["b"]->close_open_connections();
    BOOST_TEST(run_until([&] { return completed("j"); }, 2s));
    BOOST_TEST(fleet.total_starts() == 2U);
}

// Guards against a cancelled job that runs when its submission arrives once more: at another
// instance, after control has moved, or at an instance that was restarted since.
BOOST_AUTO_TEST_CASE(a_cancelled_job_stays_cancelled)
{
    fleet.work = [](const std::string&) { return duration{2s}; };
    start("a", 17433);
    start("b", 17434);
    start("c", 17435);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    const auto first = controller();
    const std::string front = first == "c" ? "b" : "c";
    submit(front, cell_fixture::job("j", 1, 2s));
    BOOST_REQUIRE(run_until([&] { return fleet.total_starts() == 1; }, 1s));
    BOOST_TEST(members[front].cells->cancel("j"));
    run_until([] { return false; }, 300ms);
    const auto check_copies = [&](const char* when) {
        for (const auto& [name, it] : members) {
            outcomes.clear();
            submit(name, cell_fixture::job("j", 1, 2s));
            BOOST_TEST(run_until([&] { return outcomes.contains("j"); }, 1s), when);
            BOOST_TEST(to_string(outcomes["j"].end) == to_string(job_end::failed), when);
        }
        BOOST_TEST(fleet.total_starts() == 1U, when);
    };
    check_copies("at once");
    members[first].cells->leave();
    BOOST_REQUIRE(run_until([&] { return controller().size() == 1 && controller() != first; }, 3s));
    check_copies("after control has moved");
    stop(first);
    run_until([] { return false; }, 200ms);
    start(first, first == "a" ? 17433 : 17434 + (first == "c" ? 1 : 0));
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    check_copies("after a restart");
}

// Guards against a cancelled job that runs at an instance that was paused at the time.
BOOST_AUTO_TEST_CASE(a_cancelled_job_stays_cancelled_at_an_instance_that_was_paused)
{
    start("a", 17467);
    start("b", 17468, "dc", 17469);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    relays["b"]->block_to_client();
    const auto sees_b = [&] {
        return std::ranges::any_of(members["a"].mesh->views(),
                                   [](const auto& it) { return it.name == "b" && it.alive; });
    };
    BOOST_REQUIRE(run_until([&] { return !sees_b(); }, 2s));
    run_until([] { return false; }, 50ms); // for a new link to be connected
    submit("a", cell_fixture::job("j", 1));
    BOOST_TEST(members["a"].cells->cancel("j"));
    relays["b"]->heal();
    BOOST_REQUIRE(run_until([&] { return sees_b(); }, 300ms));
    run_until([] { return false; }, 100ms);
    const auto starts = fleet.total_starts();
    outcomes.clear();
    submit("b", cell_fixture::job("j", 1));
    BOOST_TEST(run_until([&] { return outcomes.contains("j"); }, 3s));
    BOOST_TEST(to_string(outcomes["j"].end) == to_string(job_end::failed));
    BOOST_TEST(fleet.total_starts() == starts);
}

// Guards against a cancelled job that runs once all who were told of it have been replaced.
BOOST_AUTO_TEST_CASE(a_cancelled_job_stays_cancelled_while_all_instances_are_replaced)
{
    const std::map<std::string, int> ports = {{"a", 17448}, {"b", 17449}, {"c", 17450}};
    for (const auto& [name, port] : ports) {
        start(name, port);
    }
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    submit("a", cell_fixture::job("j", 1));
    BOOST_TEST(members["a"].cells->cancel("j"));
    run_until([] { return false; }, 100ms);
    const auto starts = fleet.total_starts();
    for (const auto& [name, port] : ports) {
        stop(name);
        run_until([] { return false; }, 100ms);
        start(name, port);
        BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
        run_until([] { return false; }, 300ms);
    }
    for (const auto& [name, port] : ports) {
        outcomes.clear();
        submit(name, cell_fixture::job("j", 1));
        BOOST_TEST(run_until([&] { return outcomes.contains("j"); }, 1s), name);
    }
    BOOST_TEST(fleet.total_starts() == starts);
}

// Guards against a cancellation that is answered "no such job" by an instance that has just taken
// over a caller, while the job runs on; and against saying so if a controller does not reply.
BOOST_AUTO_TEST_CASE(a_job_is_found_and_cancelled_at_any_instance)
{
    fleet.work = [](const std::string&) { return duration{3s}; };
    start("b", 17436, "dc", 17437);
    BOOST_REQUIRE(run_until([&] { return controller() == "b"; }, 2s));
    start("a", 17438);
    start("c", 17439);
    BOOST_REQUIRE(run_until([&] { return is_settled(); }, 3s));
    const auto find = [&](const std::string& name, const std::string& id, bool cancels) {
        std::optional<job_presence> found;
        members[name].cells->find_job(id, cancels, [&](job_presence it) { found = it; });
        BOOST_REQUIRE(run_until([&] { return found.has_value(); }, 1s));
        return static_cast<int>(*found);
    };
    for (const char* id : {"j-at-front", "j-at-controller"}) {
        submit("c", cell_fixture::job(id, 1, 3s));
        BOOST_REQUIRE(run_until([&] { return fleet.running("w0") != 0; }, 1s));
        const std::string asked = id == std::string_view("j-at-front") ? "a" : "b";
        BOOST_TEST(find(asked, id, false) == static_cast<int>(job_presence::open));
        BOOST_TEST(find(asked, id, true) == static_cast<int>(job_presence::open));
        BOOST_TEST(run_until([&] { return outcomes.contains(id); }, 1s));
        BOOST_TEST(to_string(outcomes[id].end) == to_string(job_end::failed));
        BOOST_TEST(run_until([&] { return fleet.running("w0") == 0; }, 300ms));
        BOOST_TEST(find(asked, id, false) == static_cast<int>(job_presence::absent));
        BOOST_TEST(find(asked, id, true) ==
                   static_cast<int>(job_presence::open)); // cancelled once more
    }
    BOOST_TEST(find("a", "never-sent", true) == static_cast<int>(job_presence::absent));
    relays["b"]->block_to_client();
    BOOST_TEST(find("a", "never-sent", true) == static_cast<int>(job_presence::unknown));
}

BOOST_AUTO_TEST_SUITE_END()
