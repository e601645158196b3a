#pragma once

#include "base/timer_service.h"
#include "platform/log_service.h"
#include "platform/worker_client.h"

#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusloom::system_test {

inline start_reply reply_with(start_status status)
{
    start_reply reply;
    reply.status = status;
    return reply;
}

// Workers shared by all instances. They count starts by payload, which the test makes unique for
// each task, so the count is independent of what the instances report.
class fake_workers {
public:
    enum class health { good, fails_all, dead };

    struct worker {
        health state = health::good;
        std::size_t slots = 8;
        duration run_time = std::chrono::milliseconds{100};
        std::size_t running = 0;
        std::deque<std::function<void()>> queue;
        std::string data_centre;
    };

    fake_workers(timer_service& timers, std::size_t n) : timers_(timers), workers_(n) {}

    worker& operator[](worker_id id) { return workers_[id]; }
    std::size_t size() const { return workers_.size(); }

    // `done` receives the reply; it does not run if the worker is or becomes dead.
    void start(worker_id id, std::string payload, const std::function<void(start_reply)>& done)
    {
        worker& it = workers_[id];
        if (it.state == health::dead) {
            return;
        }
        if (it.running >= it.slots) {
            if (it.queue.size() >= it.slots) {
                answer(id, reply_with(start_status::refused_busy), done);
                return;
            }
            it.queue.emplace_back(
                [this, id, payload = std::move(payload), done] { run(id, payload, done); });
            return;
        }
        run(id, std::move(payload), done);
    }

    const std::map<std::string, int>& starts() const { return starts_; }

private:
    void run(worker_id id, std::string payload, const std::function<void(start_reply)>& done)
    {
        worker& it = workers_[id];
        ++it.running;
        ++starts_[payload];
        const duration span = it.state == health::fails_all ? duration{1000} : it.run_time;
        timers_.schedule(span, [this, id, payload = std::move(payload), done, span] {
            worker& self = workers_[id];
            --self.running;
            start_reply reply;
            reply.run_time = span;
            const bool failed = self.state == health::fails_all;
            reply.status = failed ? start_status::task_failed : start_status::completed;
            reply.payload = failed ? "worker fault" : "ok:" + payload;
            if (self.state != health::dead) {
                answer(id, reply, done);
            }
            if (!self.queue.empty()) {
                const auto next = std::move(self.queue.front());
                self.queue.pop_front();
                next();
            }
        });
    }

    void answer(worker_id id, start_reply reply, const std::function<void(start_reply)>& done)
    {
        const worker& it = workers_[id];
        reply.has_load = true;
        reply.load.running = static_cast<std::uint16_t>(it.running);
        reply.load.queued = static_cast<std::uint16_t>(it.queue.size());
        done(reply);
    }

    timer_service& timers_;
    std::vector<worker> workers_;
    std::map<std::string, int> starts_;
};

// One instance's connection to the platform. Replies are delivered by the instance's own timers, so
// a paused instance receives them when it resumes; after detach() it receives none.
class platform_link final : public worker_client, public log_service {
public:
    using reach_rule = std::function<bool(worker_id)>;

    platform_link(timer_service& timers, fake_workers& workers, log_service& log)
        : timers_(timers), workers_(workers), log_(log)
    {
    }

    void set_log_partitioned(bool partitioned) { log_partitioned_ = partitioned; }
    void set_rule(reach_rule rule) { rule_ = std::move(rule); }
    void detach() { *alive_ = false; }

    void start(worker_id worker, const start_request& request, callback done) override
    {
        auto once = std::make_shared<callback>(std::move(done));
        const auto reply = [this, alive = alive_, once](const start_reply& it) {
            if (!*alive) {
                return;
            }
            timers_.schedule(network_delay, [alive, once, it] {
                if (*alive && *once) {
                    std::exchange(*once, nullptr)(it);
                }
            });
        };
        if (rule_ && !rule_(worker)) {
            reply(reply_with(start_status::not_sent));
            return;
        }
        // A connection that broke before the reply shows only as a timeout.
        timers_.schedule(request.time_left + network_delay, [alive = alive_, once] {
            if (*alive && *once) {
                std::exchange(*once, nullptr)(reply_with(start_status::reply_lost));
            }
        });
        workers_.start(worker, std::string(request.payload),
                       [this, reply, worker](const start_reply& it) {
                           if (!rule_ || rule_(worker)) {
                               reply(it);
                           }
                       });
    }

    void renew(worker_id /*worker*/, std::string_view /*task*/, duration /*lease*/) override {}
    void stop(worker_id /*worker*/, std::string_view /*task*/) override {}

    void append(std::string_view stream, std::string content, append_callback done) override
    {
        if (!log_partitioned_) {
            log_.append(stream, std::move(content), guarded<result<log_offset>>(std::move(done)));
        }
    }

    void read(std::string_view stream, log_offset from, std::size_t max_records,
              read_callback done) override
    {
        if (!log_partitioned_) {
            log_.read(stream, from, max_records, guarded<result<log_page>>(std::move(done)));
        }
    }

private:
    static constexpr duration network_delay = std::chrono::milliseconds{1};

    template<typename Reply>
    std::function<void(Reply)> guarded(std::function<void(Reply)> done)
    {
        return [this, alive = alive_, done = std::move(done)](Reply reply) {
            if (*alive && !log_partitioned_) {
                timers_.schedule(duration::zero(), [alive, done, reply] {
                    if (*alive) {
                        done(reply);
                    }
                });
            }
        };
    }

    timer_service& timers_;
    fake_workers& workers_;
    log_service& log_;
    reach_rule rule_;
    bool log_partitioned_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom::system_test
