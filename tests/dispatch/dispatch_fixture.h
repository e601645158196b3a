#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/job_observer.h"
#include "metrics/counters.h"
#include "routing/router.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace cactusloom::dispatch_test {

using namespace std::chrono_literals;

// Virtual time that can also jump ahead, as for a paused process, whose timers then run late.
class pausable_timer_service final : public timer_service {
public:
    monotonic_time monotonic_now() const override { return timers_.monotonic_now() + paused_; }
    wall_time wall_now() const override { return timers_.wall_now() + paused_; }
    timer_id schedule(duration delay, std::function<void()> fn) override
    {
        return timers_.schedule(delay, std::move(fn));
    }
    void cancel(timer_id id) override { timers_.cancel(id); }
    void advance(duration span) { timers_.advance(span); }
    bool run_next() { return timers_.run_next(); }
    void pause(duration span) { paused_ += span; }

private:
    virtual_timer_service timers_;
    duration paused_{};
};

// Router that picks the first worker with a free slot.
class fake_router final : public router {
public:
    std::vector<int> running;
    int slots = 8;
    bool runnable = true;
    duration run_time = 50ms;
    duration wait_per_task{};

    void apply(const deployment& /*settings*/) override {}
    std::optional<worker_id> pick(const routing_query& query) override
    {
        for (worker_id n = 0; n < running.size(); ++n) {
            if (running[n] < slots && query.excluded != n) {
                return n;
            }
        }
        return std::nullopt;
    }
    bool can_ever_run(kind_index /*kind*/) const override { return runnable; }
    void record_start(worker_id worker, kind_index /*kind*/) override { ++running[worker]; }
    void record_end(worker_id worker, kind_index /*kind*/, const start_reply& /*reply*/,
                    duration /*elapsed*/) override
    {
        BOOST_TEST(--running[worker] >= 0);
    }
    void record_load(worker_id /*worker*/, const worker_load& /*load*/) override {}
    void set_leaving(worker_id /*worker*/, bool /*leaving*/) override {}
    void set_share(double /*share*/) override {}
    duration run_time_quantile(kind_index /*kind*/, double /*quantile*/) const override
    {
        return run_time;
    }
    duration expected_wait(std::size_t position) const override
    {
        return wait_per_task * static_cast<duration::rep>(position);
    }
};

// Reaction of a worker to one start request.
struct behaviour {
    start_status status = start_status::completed;
    duration after = 50ms;
    int replies = 1;
    bool runs = true; // for reply_lost: whether the task ran
};

// Short names for the tables in the tests.
inline behaviour ok(duration after, int replies = 1)
{
    return {start_status::completed, after, replies};
}
inline behaviour busy(duration after, int replies = 1)
{
    return {start_status::refused_busy, after, replies};
}
inline behaviour lost(duration after, bool runs = true)
{
    return {start_status::reply_lost, after, 1, runs};
}
inline behaviour failed(duration after)
{
    return {start_status::task_failed, after};
}
inline constexpr auto complete = job_state::completed;
inline constexpr auto not_run = job_state::failed_not_run;
inline constexpr auto after_run = job_state::failed_after_run;
inline constexpr auto unknown = job_state::unknown;

// Worker client that follows a script and records what actually happened to each task.
class fake_workers final : public worker_client {
public:
    explicit fake_workers(pausable_timer_service& timers) : timers_(timers) {}

    std::vector<behaviour> script;                         // one per start; the last one repeats
    std::map<std::string, int, std::less<>> ran;           // runs, by job id and task number
    std::map<std::string, bool, std::less<>> may_have_run; // tasks whose last start may have run
    std::set<std::string> second_starts; // tasks started although they may have run
    std::size_t starts = 0;
    std::size_t stops = 0;
    std::size_t renewals = 0;
    std::vector<duration> times_left;
    std::vector<std::string> order; // payloads in order of starts

    void start(worker_id /*worker*/, const start_request& request, callback done) override
    {
        const std::string id{request.task_id};
        const std::string task = id.substr(0, id.rfind('.'));
        BOOST_TEST(ids_.insert(id).second, id);
        if (may_have_run[task]) {
            second_starts.insert(task);
        }
        const behaviour it = script[std::min(starts++, script.size() - 1)];
        may_have_run[task] = !is_certainly_not_run(it.status);
        ran[task] += may_have_run[task] && it.runs ? 1 : 0;
        times_left.push_back(request.time_left);
        order.emplace_back(request.payload);
        start_reply reply;
        reply.status = it.status;
        reply.payload =
            it.status == start_status::completed ? "answer to " + std::string{request.payload} : "";
        for (int n = 0; n < it.replies; ++n) {
            open_[id] = timers_.schedule(it.after + n * 1ms, [this, id, done, reply] {
                open_.erase(id);
                done(reply);
            });
        }
        callbacks_[id] = std::move(done);
    }
    void renew(worker_id /*worker*/, std::string_view /*id*/, duration /*lease*/) override
    {
        ++renewals;
    }
    void stop(worker_id /*worker*/, std::string_view id) override
    {
        ++stops;
        const auto it = open_.find(std::string{id});
        if (it == open_.end() || ignores_stops) {
            return;
        }
        timers_.cancel(it->second);
        timers_.schedule(1ms, [done = callbacks_[it->first]] {
            start_reply reply;
            reply.status = start_status::stopped;
            done(reply);
        });
        open_.erase(it);
    }

    bool ignores_stops = false;

private:
    pausable_timer_service& timers_;
    std::set<std::string> ids_;
    std::map<std::string, timer_id> open_;
    std::map<std::string, callback> callbacks_;
};

// Records job events for comparison with the answers.
class recording_observer final : public job_observer {
public:
    std::map<job_number, std::string> received;
    std::map<std::string, job_state> finished;
    std::size_t starts = 0;
    std::size_t ended = 0;
    std::size_t refused = 0;

    void job_received(job_number job, const received_job& details) override
    {
        BOOST_TEST(received.emplace(job, details.id).second);
    }
    void task_started(job_number job, std::uint32_t /*task*/, worker_id /*worker*/) override
    {
        starts += received.count(job);
    }
    void task_ended(job_number job, std::uint32_t /*task*/, worker_id /*worker*/,
                    start_status /*status*/) override
    {
        ended += received.count(job);
    }
    void job_finished(job_number job, const finished_job& details) override
    {
        BOOST_TEST(received[job] == details.id);
        BOOST_TEST((details.received <= details.finished));
        BOOST_TEST(finished.emplace(details.id, details.state).second);
    }
    void job_refused(const received_job& /*details*/, const error& /*reason*/) override
    {
        ++refused;
    }
};

// A dispatcher with fake dependencies. Kinds: "once", "idem" (idempotent), "twice" (second_start).
struct fixture {
    explicit fixture(std::size_t workers = 2, deployment changed = base())
        : settings(std::move(changed)), client(timers)
    {
        task_router.running.resize(workers);
        client.script = {{}};
        timers.advance(1s);
        service = make();
    }

    static deployment base()
    {
        deployment it;
        it.profile.message_budget = 2.2;
        it.kinds = {{"once", false, false, 50ms, 2s, {}},
                    {"idem", true, false, 50ms, 2s, {}},
                    {"twice", true, true, 50ms, 2s, {}}};
        it.teams = {{"a", 1.0, 0}, {"b", 1.0, 0}};
        it.customers = {{"anna", "a"}, {"ben", "b"}};
        return it;
    }

    std::unique_ptr<dispatcher> make(std::uint64_t incarnation = 1)
    {
        dispatcher_options options;
        options.instance = "one";
        options.data_centre = "dc";
        options.incarnation = incarnation;
        return std::make_unique<dispatcher>(
            settings, options,
            dispatcher::dependencies{client, task_router, timers, &observer, &metrics});
    }

    submission_request request(std::string kind, std::size_t tasks = 1, duration deadline = 2s,
                               const std::string& customer = "anna")
    {
        submission_request it{service->issue_prefix() + ".s" + std::to_string(++last_),
                              customer,
                              std::move(kind),
                              {},
                              deadline};
        for (std::size_t n = 0; n < tasks; ++n) {
            it.payloads.push_back(customer + std::to_string(last_) + "/" + std::to_string(n));
        }
        return it;
    }

    // Submits a job, waits for its answer and records it.
    result<void> send(const submission_request& it)
    {
        auto outcome = service->submit(it);
        if (outcome) {
            sent[it.id] = it;
            await_answer(it.id);
        }
        return outcome;
    }

    void await_answer(const std::string& id)
    {
        service->wait(id, 120s, [this, id](const job_answer& answer) {
            answers[id].push_back(answer);
            answered[id] = timers.monotonic_now();
        });
    }

    // Checks all answers, records and counters against what the workers executed.
    void check(std::string_view what)
    {
        for (const auto& [id, job] : sent) {
            const auto& all = answers[id];
            BOOST_TEST(!all.empty(), what << ": no answer");
            for (const job_answer& it : all) {
                BOOST_TEST((it.state == observer.finished[id]),
                           what << ": differs from the record");
                check_answer(what, job, it);
            }
        }
        BOOST_TEST(observer.finished.size() == sent.size(), what);
        BOOST_TEST(observer.refused == count("jobs_refused"), what);
        BOOST_TEST(observer.starts == count("task_starts"), what);
        BOOST_TEST(observer.ended == observer.starts, what);
        for (const std::string& task : client.second_starts) {
            const std::string id = task.substr(0, task.rfind('.'));
            BOOST_TEST(sent[id].kind == "twice", what << ": started twice " << task);
        }
        for (const int running : task_router.running) {
            BOOST_TEST(running == 0, what << ": a slot was not freed");
        }
        BOOST_TEST(service->open_jobs() == 0U, what);
        BOOST_TEST(service->queued_tasks() == 0U, what);
    }

    void check_answer(std::string_view what, const submission_request& job, const job_answer& it)
    {
        const bool is_complete = it.state == job_state::completed;
        BOOST_TEST(it.answers.size() == (is_complete ? job.payloads.size() : 0U), what);
        for (std::size_t n = 0; n < job.payloads.size(); ++n) {
            const auto task = job.id + "." + std::to_string(n);
            if (is_complete) {
                BOOST_TEST(it.answers[n] == "answer to " + job.payloads[n], what);
            }
            if (it.state == job_state::failed_not_run) {
                BOOST_TEST(client.ran[task] == 0, what << ": reported as not run, but it ran");
            }
        }
        BOOST_TEST((is_complete || !it.reason.empty()), what);
    }

    std::uint64_t count(std::string_view name) { return metrics.get(name); }

    pausable_timer_service timers;
    deployment settings;
    fake_router task_router;
    fake_workers client;
    counters metrics;
    recording_observer observer;
    std::map<std::string, submission_request> sent;
    std::map<std::string, std::vector<job_answer>> answers;
    std::map<std::string, monotonic_time> answered;
    std::unique_ptr<dispatcher> service;

private:
    int last_ = 0;
};

} // namespace cactusloom::dispatch_test
