#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace cactusloom;
using namespace cactusloom::system_test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t instances = 6;

// What one caller asked for, and everything that it was told.
struct submission {
    std::string id;
    std::string customer;
    std::string kind;
    std::vector<std::string> payloads;
    std::size_t resubmissions = 0;
    bool is_settled = false;
    std::vector<fleet::outcome> told;
};

// One run: a fleet, callers that resubmit what they believe lost, and faults drawn from the seed.
class random_run {
public:
    explicit random_run(std::uint32_t seed) : random_(seed * 7919 + 4096), fleet_(seed)
    {
        for (std::size_t n = 0; n < instances; ++n) {
            fleet_.start(n);
        }
        fleet_.run(5s);
    }

    void run(std::size_t steps)
    {
        for (std::size_t n = 0; n < steps; ++n) {
            submit_some();
            if (draw(4) == 0) {
                disturb();
            }
            fleet_.run(250ms);
        }
        heal();
        fleet_.run(90s);
    }

    void check()
    {
        check_starts();
        check_answers();
        check_accounts();
        for (const std::string& fault : fleet_.faults()) {
            faults_.push_back(fault);
        }
    }

    const std::vector<std::string>& faults() const { return faults_; }
    const std::vector<std::string>& events() const { return events_; }
    std::size_t count_told(job_state state) const
    {
        std::size_t n = 0;
        for (const submission& it : submissions_) {
            for (const fleet::outcome& told : it.told) {
                n += told.state == state ? 1 : 0;
            }
        }
        return n;
    }

private:
    std::uint32_t draw(std::uint32_t bound) { return draw_below(random_, bound); }

    void note(std::string event)
    {
        events_.push_back(fmt::format(
            "{:8.2f} s {}",
            static_cast<double>(fleet_.timers().monotonic_now().time_since_epoch().count()) / 1e6,
            std::move(event)));
    }

    void submit_some()
    {
        for (std::uint32_t n = draw(4); n > 0; --n) {
            const std::size_t door = draw(instances);
            const auto prefix = fleet_.prefix_of(door);
            if (!prefix) {
                continue;
            }
            submission it;
            it.id = fmt::format("{}.s{}", *prefix, submissions_.size());
            it.customer = fmt::format("shop-{}", draw(2));
            it.kind = draw(2) == 0 ? "van_booking" : "stock_confirm";
            const std::uint32_t tasks = draw(5) == 0 ? 20 : 1 + draw(3);
            for (std::uint32_t task = 0; task < tasks; ++task) {
                it.payloads.push_back(fmt::format("{}/{}", submissions_.size(), task));
            }
            submissions_.push_back(std::move(it));
            send(submissions_.size() - 1, draw(3) == 0 ? draw(instances) : door);
        }
    }

    // Sends or resends a submission, and resends it elsewhere if no reply comes in time. Some
    // callers are impatient and resend while the first attempt still runs.
    void send(std::size_t number, std::size_t door)
    {
        const submission& it = submissions_[number];
        job_request request;
        request.id = it.id;
        request.customer = it.customer;
        request.kind = it.kind;
        request.payloads = it.payloads;
        request.deadline = 3s;
        const bool reply_is_lost = draw(10) == 0;
        fleet_.serve(door, std::move(request), [this, number, reply_is_lost](fleet::outcome told) {
            submission& self = submissions_[number];
            if (reply_is_lost) {
                return;
            }
            self.is_settled = true;
            self.told.push_back(std::move(told));
        });
        const duration patience = draw(4) == 0 ? duration{50ms} : duration{4s};
        fleet_.timers().schedule(patience, [this, number] {
            submission& self = submissions_[number];
            if (!self.is_settled && self.resubmissions < 3) {
                ++self.resubmissions;
                send(number, draw(instances));
            }
        });
    }

    void disturb()
    {
        using event = void (random_run::*)();
        static constexpr event events[] = {
            &random_run::kill_one,     &random_run::pause_one,    &random_run::replace_one,
            &random_run::cut_centre,   &random_run::cut_platform, &random_run::stop_log,
            &random_run::lose_replies, &random_run::break_worker, &random_run::race_edits,
            &random_run::race_edits,   &random_run::lose_appends,
        };
        (this->*events[draw(std::size(events))])();
    }

    void restart_later(std::size_t number)
    {
        fleet_.timers().schedule(duration{1s} * (1 + draw(8)), [this, number] {
            if (!fleet_.is_running(number)) {
                note(fmt::format("start i{}", number));
                fleet_.start(number);
            }
        });
    }

    void kill_one()
    {
        const std::size_t number = draw(instances);
        if (fleet_.is_running(number)) {
            note(fmt::format("kill i{}", number));
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
        note(fmt::format("pause i{}", number));
        fleet_.set_paused(number, true);
        const std::string name = fleet_[number].name;
        const auto* paused = &fleet_[number];
        fleet_.timers().schedule(duration{1s} * (1 + draw(15)), [this, number, paused] {
            if (fleet_.is_running(number) && &fleet_[number] == paused && paused->paused) {
                note(fmt::format("resume i{}", number));
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
        note(fmt::format("shut down i{}", number));
        fleet_.shut_down(number);
        const auto* leaving = &fleet_[number];
        fleet_.timers().schedule(20s, [this, number, leaving] {
            if (fleet_.is_running(number) && &fleet_[number] == leaving) {
                fleet_.kill(number);
                restart_later(number);
            }
        });
    }

    void cut_centre()
    {
        const std::size_t centre = draw(data_centres);
        note(fmt::format("cut dc{}", centre));
        fleet_.set_data_centre_cut(centre, true);
        fleet_.timers().schedule(duration{1s} * (1 + draw(20)), [this, centre] {
            note(fmt::format("join dc{}", centre));
            fleet_.set_data_centre_cut(centre, false);
        });
    }

    void cut_platform()
    {
        const std::size_t centre = draw(data_centres);
        note(fmt::format("cut dc{} from the log", centre));
        fleet_.set_platform_cut(centre, true);
        fleet_.timers().schedule(duration{1s} * (1 + draw(30)),
                                 [this, centre] { fleet_.set_platform_cut(centre, false); });
    }

    void stop_log()
    {
        const bool silent = draw(2) == 0;
        note(silent ? "log silent" : "log down");
        silent ? fleet_.log().set_silent(true) : fleet_.log().set_down(true);
        fleet_.timers().schedule(duration{1s} * (1 + draw(20)), [this] {
            fleet_.log().set_silent(false);
            fleet_.log().set_down(false);
        });
    }

    void lose_replies()
    {
        note("lose append replies");
        fleet_.log().lose_append_replies(1 + draw(4));
    }

    void lose_appends()
    {
        note("lose append requests");
        fleet_.log().lose_append_requests(1 + draw(4));
    }

    void break_worker()
    {
        const worker_id id = draw(worker_count);
        const bool dies = draw(2) == 0;
        note(fmt::format("worker w{} {}", id, dies ? "dies" : "fails all tasks"));
        fleet_.workers()[id].state =
            dies ? fake_workers::health::dead : fake_workers::health::fails_all;
        fleet_.timers().schedule(duration{1s} * (1 + draw(10)), [this, id] {
            fleet_.workers()[id].state = fake_workers::health::good;
        });
    }

    void race_edits()
    {
        note("two instances edit the profile");
        for (int n = 0; n < 2; ++n) {
            fleet_.edit(draw(instances), "profile", "dispatch",
                        fmt::format("[profile]\nresponse_time_weight = 0.5\n"
                                    "wasted_message_weight = 0.5\nrouting = \"predicted_finish\"\n"
                                    "message_budget = 2.2\nhedge_quantile = 0.95\n"
                                    "retry_ratio = 0.{}\n",
                                    1 + draw(9)));
        }
    }

    void heal()
    {
        note("heal everything");
        fleet_.log().set_silent(false);
        fleet_.log().set_down(false);
        for (std::size_t n = 0; n < data_centres; ++n) {
            fleet_.set_data_centre_cut(n, false);
        }
        for (worker_id id = 0; id < worker_count; ++id) {
            fleet_.workers()[id].state = fake_workers::health::good;
        }
    }

    int starts_of(const std::string& payload) const
    {
        const auto& starts = const_cast<random_run*>(this)->fleet_.workers().starts();
        const auto it = starts.find(payload);
        return it == starts.end() ? 0 : it->second;
    }

    void check_starts()
    {
        for (const auto& [payload, n] : fleet_.workers().starts()) {
            if (n > 1) {
                faults_.push_back(fmt::format("task {} started {} times", payload, n));
            }
        }
    }

    void check_answers()
    {
        for (const submission& it : submissions_) {
            for (const fleet::outcome& told : it.told) {
                check_answer(it, told);
            }
        }
    }

    void check_answer(const submission& it, const fleet::outcome& told)
    {
        if (told.state == job_state::completed) {
            bool whole = told.answers.size() == it.payloads.size();
            for (std::size_t n = 0; whole && n < it.payloads.size(); ++n) {
                whole = told.answers[n] == "ok:" + it.payloads[n];
            }
            if (!whole) {
                faults_.push_back("partial or wrong answer for " + it.id);
            }
        }
        else if (!told.answers.empty()) {
            faults_.push_back("answers with a failed job for " + it.id);
        }
        if (told.state == job_state::failed_not_run) {
            for (const std::string& payload : it.payloads) {
                if (starts_of(payload) > 0) {
                    faults_.push_back(fmt::format("{} was told not run ({}) but task {} ran", it.id,
                                                  told.reason, payload));
                }
            }
        }
    }

    void check_accounts()
    {
        for (const std::string customer : {"shop-0", "shop-1"}) {
            const account_statement statement = fleet_.statement(customer);
            std::map<std::string, const account_record*> records;
            for (const account_record& record : statement.records) {
                if (record.receipt.customer != customer) {
                    faults_.push_back("a record of another customer in the account of " + customer);
                }
                records[record.receipt.submission_id] = &record;
            }
            if (!statement.doubled_starts.empty() || !statement.doubled_answers.empty()) {
                faults_.push_back("the account of " + customer +
                                  " shows a doubled start or answer");
            }
            for (const submission& it : submissions_) {
                if (it.customer == customer) {
                    check_account(it, records, statement);
                }
            }
        }
    }

    void check_account(const submission& it,
                       const std::map<std::string, const account_record*>& records,
                       const account_statement& statement)
    {
        int starts = 0;
        for (const std::string& payload : it.payloads) {
            starts += starts_of(payload);
        }
        const auto found = records.find(it.id);
        if (found == records.end()) {
            if (starts > 0 && statement.is_complete()) {
                faults_.push_back(it.id + " ran but a complete account does not show it");
            }
            return;
        }
        const account_record& record = *found->second;
        if (record.outcome == account_outcome::completed &&
            record.starts() != static_cast<std::uint64_t>(starts)) {
            faults_.push_back(fmt::format("the account shows {} starts of {}, the workers saw {}",
                                          record.starts(), it.id, starts));
        }
        if (record.outcome == account_outcome::failed_not_run && starts > 0) {
            faults_.push_back("the account says not run of " + it.id + ", which ran");
        }
    }

    random_engine random_;
    fleet fleet_;
    std::vector<submission> submissions_;
    std::vector<std::string> events_;
    std::vector<std::string> faults_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(system_test)

// Guards the five invariants that no fault may break: no task starts twice, no partial answer, no
// configuration goes back, no false "not run", and an account that matches what the workers saw.
// CACTUSLOOM_TEST_SEED runs one seed alone.
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
        it.check();
        completed += it.count_told(job_state::completed);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << it.count_told(job_state::completed)
                                   << " completed, " << it.count_told(job_state::failed_not_run)
                                   << " not run, " << it.count_told(job_state::failed_after_run)
                                   << " failed after run, " << it.count_told(job_state::unknown)
                                   << " unknown");
        for (const std::string& fault : it.faults()) {
            BOOST_ERROR("seed " << seed << ": " << fault);
        }
        if (!it.faults().empty()) {
            for (const std::string& event : it.events()) {
                BOOST_TEST_MESSAGE("seed " << seed << ": " << event);
            }
        }
    }
    // A run in which little is served would hold the invariants without testing them.
    BOOST_TEST(completed > seeds.size() * 100);
}

BOOST_AUTO_TEST_SUITE_END()
