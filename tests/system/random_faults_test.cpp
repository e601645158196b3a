#include "callers.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace cactusloom;
using namespace cactusloom::system_test;
using namespace std::chrono_literals;

namespace {

// One run: instances, callers that resubmit after a timeout, and faults drawn from the seed.
class random_run {
public:
    explicit random_run(std::uint32_t seed) : fleet_(seed), callers_(fleet_, seed)
    {
        for (std::size_t n = 0; n < instances; ++n) {
            fleet_.start(n);
        }
        fleet_.run(5s);
    }

    void run(std::size_t steps)
    {
        for (std::size_t n = 0; n < steps; ++n) {
            callers_.submit_random(3);
            if (draw(4) == 0) {
                inject_fault();
            }
            fleet_.run(250ms);
        }
        clear_faults();
        fleet_.run(90s);
    }

    callers& load() { return callers_; }
    const std::vector<std::string>& events() const { return events_; }

private:
    std::uint32_t draw(std::uint32_t bound) { return callers_.draw(bound); }

    void record_event(std::string event)
    {
        events_.push_back(fmt::format(
            "{:8.2f} s {}",
            static_cast<double>(fleet_.timers().monotonic_now().time_since_epoch().count()) / 1e6,
            std::move(event)));
    }

    void inject_fault()
    {
        using event = void (random_run::*)();
        static constexpr event events[] = {
            &random_run::kill_one,           &random_run::pause_one,
            &random_run::replace_one,        &random_run::partition_data_centre,
            &random_run::partition_platform, &random_run::stop_log,
            &random_run::lose_replies,       &random_run::break_worker,
            &random_run::race_edits,         &random_run::race_edits,
            &random_run::lose_appends,
        };
        (this->*events[draw(std::size(events))])();
    }

    void restart_later(std::size_t number)
    {
        fleet_.timers().schedule(duration{1s} * (1 + draw(8)), [this, number] {
            if (!fleet_.is_running(number)) {
                record_event(fmt::format("start i{}", number));
                fleet_.start(number);
            }
        });
    }

    void kill_one()
    {
        const std::size_t number = draw(instances);
        if (fleet_.is_running(number)) {
            record_event(fmt::format("kill i{}", number));
            fleet_.kill(number);
            restart_later(number);
        }
    }

    void pause_one()
    {
        const std::size_t number = draw(instances);
        if (!fleet_.is_running(number) || fleet_[number].paused) {
            return;
        }
        record_event(fmt::format("pause i{}", number));
        fleet_.set_paused(number, true);
        const auto* paused = &fleet_[number];
        fleet_.timers().schedule(duration{1s} * (1 + draw(15)), [this, number, paused] {
            if (fleet_.is_running(number) && &fleet_[number] == paused && paused->paused) {
                record_event(fmt::format("resume i{}", number));
                fleet_.set_paused(number, false);
            }
        });
    }

    void replace_one()
    {
        const std::size_t number = draw(instances);
        if (!fleet_.is_running(number) || fleet_[number].paused) {
            return;
        }
        record_event(fmt::format("shut down i{}", number));
        fleet_.shut_down(number);
        const auto* leaving = &fleet_[number];
        fleet_.timers().schedule(20s, [this, number, leaving] {
            if (fleet_.is_running(number) && &fleet_[number] == leaving) {
                fleet_.kill(number);
                restart_later(number);
            }
        });
    }

    void partition_data_centre()
    {
        const std::size_t data_centre = draw(data_centres);
        record_event(fmt::format("partition dc{}", data_centre));
        fleet_.set_data_centre_partitioned(data_centre, true);
        fleet_.timers().schedule(duration{1s} * (1 + draw(20)), [this, data_centre] {
            record_event(fmt::format("reconnect dc{}", data_centre));
            fleet_.set_data_centre_partitioned(data_centre, false);
        });
    }

    void partition_platform()
    {
        const std::size_t data_centre = draw(data_centres);
        record_event(fmt::format("partition dc{} from the log", data_centre));
        fleet_.set_platform_partitioned(data_centre, true);
        fleet_.timers().schedule(duration{1s} * (1 + draw(30)), [this, data_centre] {
            fleet_.set_platform_partitioned(data_centre, false);
        });
    }

    void stop_log()
    {
        const bool silent = draw(2) == 0;
        record_event(silent ? "log silent" : "log down");
        silent ? fleet_.log().set_silent(true) : fleet_.log().set_down(true);
        fleet_.timers().schedule(duration{1s} * (1 + draw(20)), [this] {
            fleet_.log().set_silent(false);
            fleet_.log().set_down(false);
        });
    }

    void lose_replies()
    {
        record_event("lose append replies");
        fleet_.log().lose_append_replies(1 + draw(4));
    }

    void lose_appends()
    {
        record_event("lose append requests");
        fleet_.log().lose_append_requests(1 + draw(4));
    }

    void break_worker()
    {
        const worker_id id = draw(worker_count);
        const bool dies = draw(2) == 0;
        record_event(fmt::format("worker w{} {}", id, dies ? "dies" : "fails all tasks"));
        fleet_.workers()[id].state =
            dies ? fake_workers::health::dead : fake_workers::health::fails_all;
        fleet_.timers().schedule(duration{1s} * (1 + draw(10)), [this, id] {
            fleet_.workers()[id].state = fake_workers::health::good;
        });
    }

    void race_edits()
    {
        record_event("two instances edit the profile");
        for (int n = 0; n < 2; ++n) {
            fleet_.edit(draw(instances), "profile", "dispatch",
                        fmt::format("[profile]\nresponse_time_weight = 0.5\n"
                                    "wasted_message_weight = 0.5\nrouting = \"predicted_finish\"\n"
                                    "message_budget = 2.2\nhedge_quantile = 0.95\n"
                                    "retry_ratio = 0.{}\n",
                                    1 + draw(9)));
        }
    }

    void clear_faults()
    {
        record_event("clear all faults");
        fleet_.log().set_silent(false);
        fleet_.log().set_down(false);
        for (std::size_t n = 0; n < data_centres; ++n) {
            fleet_.set_data_centre_partitioned(n, false);
        }
        for (worker_id id = 0; id < worker_count; ++id) {
            fleet_.workers()[id].state = fake_workers::health::good;
        }
    }

    fleet fleet_;
    callers callers_;
    std::vector<std::string> events_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(system_test)

// Checks five invariants under random faults: no task starts twice, no partial answer, no
// configuration goes back to an older version, no false "not run", and accounts match the starts on
// the workers. CACTUSLOOM_TEST_SEED selects a single seed.
BOOST_AUTO_TEST_CASE(invariants_hold_under_random_faults)
{
    std::vector<std::uint32_t> seeds;
    if (const char* seed = std::getenv("CACTUSLOOM_TEST_SEED")) {
        seeds.push_back(static_cast<std::uint32_t>(std::strtoul(seed, nullptr, 10)));
    }
    else {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            seeds.push_back(seed);
        }
    }
    std::size_t completed = 0;
    for (const std::uint32_t seed : seeds) {
        random_run it(seed);
        it.run(240);
        const callers& load = it.load();
        completed += load.count_replies(job_state::completed);
        BOOST_TEST_MESSAGE(
            "seed " << seed << ": " << load.count_replies(job_state::completed) << " completed, "
                    << load.count_replies(job_state::failed_not_run) << " not run, "
                    << load.count_replies(job_state::failed_after_run) << " failed after run, "
                    << load.count_replies(job_state::unknown) << " unknown");
        const std::vector<std::string> violations = it.load().check();
        for (const std::string& violation : violations) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
        if (!violations.empty()) {
            for (const std::string& event : it.events()) {
                BOOST_TEST_MESSAGE("seed " << seed << ": " << event);
            }
        }
    }
    // Guards against runs that hold the invariants only because little is served.
    BOOST_TEST(completed > seeds.size() * 100);
}

BOOST_AUTO_TEST_SUITE_END()
