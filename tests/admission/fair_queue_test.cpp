#include "admission/fair_queue.h"
#include "base/random.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

// Takes `count` tasks from the queue and returns how many belonged to each job.
std::map<queued_job, int> serve(fair_queue& queue, int count)
{
    std::map<queued_job, int> served;
    for (int n = 0; n < count; ++n) {
        const auto job = queue.front();
        BOOST_REQUIRE(job.has_value());
        queue.pop();
        ++served[*job];
    }
    return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queues)

// Guards against service that is not proportional to the weights in run time.
BOOST_AUTO_TEST_CASE(teams_share_run_time_by_weight)
{
    struct row {
        const char* what;
        std::vector<double> weights;
        std::vector<duration> costs;
        std::vector<double> expected; // share of the tasks
    };
    const row rows[] = {
        {"equal", {1, 1}, {50ms, 50ms}, {0.5, 0.5}},
        {"weights", {1, 3}, {50ms, 50ms}, {0.25, 0.75}},
        {"costs", {1, 1}, {50ms, 150ms}, {0.75, 0.25}},
        {"weights and costs", {1, 2, 1}, {100ms, 200ms, 50ms}, {0.25, 0.25, 0.5}},
        {"cost beyond the bound", {1, 1}, {100s, 1s}, {0.5, 0.5}},
        {"very small weight", {0.01, 1}, {50ms, 50ms}, {0.0099, 0.99}},
    };
    for (const row& it : rows) {
        fair_queue queue{it.weights, 1'000'000};
        for (team_index team = 0; team < it.weights.size(); ++team) {
            queue.push(team, team, it.costs[team], 100'000);
        }
        constexpr int count = 50'000;
        auto served = serve(queue, count);
        for (team_index team = 0; team < it.weights.size(); ++team) {
            const double share = static_cast<double>(served[team]) / count;
            BOOST_TEST(std::abs(share - it.expected[team]) < 0.01, it.what << " " << share);
        }
    }
}

// Guards against a team, one of 77, that is skipped or served twice in a round.
BOOST_AUTO_TEST_CASE(seventy_seven_teams_are_served_equally)
{
    const std::vector<double> weights(77, 1.0);
    fair_queue queue{weights, 1'000'000};
    for (team_index team = 0; team < 77; ++team) {
        queue.push(team, team, 125ms, 100);
    }
    for (const auto& [job, count] : serve(queue, 77 * 10)) {
        BOOST_TEST(count == 10, job);
    }
}

// Guards against a job that is only served after an earlier job of its team.
BOOST_AUTO_TEST_CASE(jobs_of_a_team_are_served_round_robin)
{
    fair_queue queue{std::vector<double>{1.0}, 1000};
    queue.push(0, 0, 50ms, 700);
    queue.push(1, 0, 50ms, 1);
    queue.push(2, 0, 50ms, 10);
    auto served = serve(queue, 21);
    BOOST_TEST(served[1] == 1);
    BOOST_TEST(served[2] == 10);
    BOOST_TEST(served[0] == 10);
}

// Guards against a retried task that is queued behind all others again.
BOOST_AUTO_TEST_CASE(retried_task_goes_first)
{
    fair_queue queue{std::vector<double>{1.0}, 1000};
    queue.push(0, 0, 50ms, 5);
    queue.push(1, 0, 50ms, 5);
    queue.push_retry(2, 0, 50ms);
    BOOST_TEST(*queue.front() == 2U);
    queue.push_retry(1, 0, 50ms);
    BOOST_TEST(*queue.front() == 1U);
}

// Guards against a team over its quota that is served before others, or not served when no other
// team has tasks.
BOOST_AUTO_TEST_CASE(team_over_quota_goes_last_but_is_served)
{
    fair_queue queue{std::vector<double>{1.0, 1.0}, 1000};
    queue.push(0, 0, 50ms, 5);
    queue.push(1, 1, 50ms, 5);
    queue.set_over_quota(0, true);
    BOOST_TEST(serve(queue, 5)[1] == 5);
    BOOST_TEST(serve(queue, 2)[0] == 2);
    queue.push(1, 1, 50ms, 1);
    BOOST_TEST(*queue.front() == 1U);
    queue.set_over_quota(1, true);
    queue.set_over_quota(0, false);
    BOOST_TEST(*queue.front() == 0U);
}

// Guards against one team taking up the whole queue, and against a queue that grows without bound.
BOOST_AUTO_TEST_CASE(each_team_may_use_its_share_of_the_bound)
{
    fair_queue queue{std::vector<double>{1.0, 3.0}, 100};
    BOOST_TEST(!queue.has_room(0, 101));
    queue.push(0, 0, 50ms, 100);
    BOOST_TEST(!queue.has_room(0, 1));
    BOOST_TEST(queue.has_room(1, 75));
    BOOST_TEST(!queue.has_room(1, 76));
}

// Guards against counts that no longer match the lists after some sequence of calls.
BOOST_AUTO_TEST_CASE(random_calls_keep_counts_consistent)
{
    random_engine random{3};
    const std::vector<double> weights{1.0, 2.0, 0.5, 7.0, 1.0};
    fair_queue queue{weights, 1'000'000};
    std::map<queued_job, std::uint32_t> waiting;
    for (int n = 0; n < 200'000; ++n) {
        const queued_job job = draw_below(random, 50);
        const team_index team = job % 5;
        switch (draw_below(random, 8)) {
        case 0:
            queue.push(job, team, 1ms * draw_below(random, 3000), 3);
            waiting[job] += 3;
            break;
        case 1:
            queue.push_retry(job, team, 1ms * draw_below(random, 3000));
            ++waiting[job];
            break;
        case 2:
            BOOST_TEST(queue.remove(job) == waiting[job]);
            waiting[job] = 0;
            break;
        case 3:
            queue.set_over_quota(team, draw_below(random, 2) == 0);
            break;
        default:
            if (const auto front = queue.front()) {
                BOOST_REQUIRE(waiting[*front] > 0U);
                queue.pop();
                --waiting[*front];
            }
        }
        const auto sum = std::accumulate(waiting.begin(), waiting.end(), std::size_t{0},
                                         [](auto so_far, auto& it) { return so_far + it.second; });
        BOOST_REQUIRE(queue.size() == sum);
        BOOST_REQUIRE(queue.front().has_value() == (sum > 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
