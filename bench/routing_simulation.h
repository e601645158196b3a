#pragma once

#include "base/clock.h"
#include "routing/router.h"
#include "workload_trace.h"

#include <deque>
#include <memory>
#include <queue>

namespace cactusloom::bench {

// One-way latency of a message in seconds. The design requires a round trip below 1 ms.
constexpr double one_way_latency = 0.00025;

class bench_clock final : public clock {
public:
    monotonic_time monotonic_now() const override
    {
        return monotonic_time{duration{static_cast<std::int64_t>(seconds * 1e6)}};
    }
    wall_time wall_now() const override { return wall_time{}; }

    double seconds = 0;
};

// Discrete-event simulation of instances, each with a router and a FIFO queue, and of workers.
class routing_simulation {
public:
    routing_simulation(const scenario& settings, const workload_trace& input,
                       const std::string& strategy, double message_budget)
        : settings_(&settings), trace_(&input),
          deployment_(make_deployment(settings, strategy, message_budget)),
          tasks_(input.work.size()), requests_(input.requests.size()), workers_(input.speed.size())
    {
        double begin = 0;
        for (std::size_t i = 0; i < input.share.size(); ++i) {
            instances_.emplace_back();
            instances_.back().task_router =
                router::make(deployment_, clock_,
                             {.seed = settings.seed * 1000003ULL + i * 7919ULL,
                              .share = input.share[i],
                              .share_begin = begin});
            begin += input.share[i];
        }
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            workers_[i].speed = input.speed[i];
        }
        for (std::uint32_t i = 0; i < input.requests.size(); ++i) {
            const trace_request& request = input.requests[i];
            requests_[i].left = request.tasks;
            for (std::uint32_t k = 0; k < request.tasks; ++k) {
                tasks_[request.first_task + k].request = i;
            }
        }
    }

    outcome run()
    {
        if (!trace_->requests.empty()) {
            add(trace_->requests.front().at, event_type::arrival, 0);
        }
        add(trace_->fault_at, event_type::inject_fault, 0);
        // Ends the run of a strategy that cannot keep up; its open requests are not counted.
        const double limit = settings_->warm_up + settings_->length + 300;
        while (!events_.empty() && events_.top().at < limit) {
            const event next = events_.top();
            events_.pop();
            clock_.seconds = next.at;
            handle(next);
        }
        return std::move(result_);
    }

private:
    enum class event_type : std::uint8_t { arrival, start, done, reply, poll, inject_fault };
    enum class mode : std::uint8_t { good, failing, dead };

    struct event {
        double at;
        std::uint64_t number; // orders events at the same time
        event_type type;
        std::uint32_t subject;
        std::uint32_t attempt;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    struct task_state {
        std::uint32_t request = 0;
        std::uint32_t attempt = 0;
        worker_id worker = 0;
        bool running = false;
        bool in_flight = false;
        bool ended = false;
        double sent_at = 0;
        double started_at = 0;
        start_status status = start_status::completed;
        worker_load load;
        bool has_load = false;
        double run_time = 0;
    };

    struct request_state {
        std::uint32_t left = 0;
        bool failed = false;
        bool cancelled = false;
    };

    struct load_change {
        double at;
        worker_load load;
    };

    struct worker_state {
        double speed = 1;
        mode state = mode::good;
        std::uint32_t running = 0;
        std::deque<std::uint32_t> queue;
        std::deque<load_change> history;
    };

    struct instance_state {
        std::unique_ptr<router> task_router;
        std::deque<std::uint32_t> queue;
        bool polling = false;
    };

    // Capacity of the queue of a worker, equal to its slots.
    static constexpr std::size_t worker_queue = slots_per_worker;
    // Seconds between two attempts to drain a queue when no worker has room.
    static constexpr double poll_interval = 0.005;
    static constexpr double renew_interval = 2.5;

    void add(double at, event_type type, std::uint32_t subject, std::uint32_t attempt = 0)
    {
        events_.push({at, ++last_event_, type, subject, attempt});
    }

    bool is_measured() const
    {
        return clock_.seconds >= settings_->warm_up &&
               clock_.seconds < settings_->warm_up + settings_->length;
    }

    void handle(const event& it)
    {
        switch (it.type) {
        case event_type::arrival:
            handle_arrival(it.subject);
            break;
        case event_type::start:
            start(it.subject);
            break;
        case event_type::done:
            if (tasks_[it.subject].attempt == it.attempt && tasks_[it.subject].running) {
                finish(it.subject, start_status::completed);
            }
            break;
        case event_type::reply:
            handle_reply(it.subject);
            break;
        case event_type::poll:
            instances_[it.subject].polling = false;
            drain(it.subject);
            break;
        case event_type::inject_fault:
            inject_fault();
            break;
        }
    }

    void handle_arrival(std::uint32_t number)
    {
        const trace_request& request = trace_->requests[number];
        if (number + 1 < trace_->requests.size()) {
            add(trace_->requests[number + 1].at, event_type::arrival, number + 1);
        }
        for (std::uint32_t i = 0; i < request.tasks; ++i) {
            instances_[request.instance].queue.push_back(request.first_task + i);
        }
        drain(request.instance);
    }

    void drain(std::uint32_t number)
    {
        instance_state& instance = instances_[number];
        while (!instance.queue.empty()) {
            const std::uint32_t id = instance.queue.front();
            task_state& task = tasks_[id];
            if (requests_[task.request].cancelled) {
                instance.queue.pop_front();
                task.ended = true;
                continue;
            }
            const std::uint32_t kind = trace_->requests[task.request].kind;
            result_.picks += 1;
            const auto worker =
                instance.task_router->pick({.kind = kind, .job_key = task.request + 1ULL});
            if (!worker) {
                break;
            }
            instance.queue.pop_front();
            instance.task_router->record_start(*worker, kind);
            task.worker = *worker;
            task.sent_at = clock_.seconds;
            task.in_flight = true;
            ++task.attempt;
            count_message();
            add(clock_.seconds + one_way_latency, event_type::start, id);
        }
        if (!instance.queue.empty() && !instance.polling) {
            instance.polling = true;
            add(clock_.seconds + poll_interval, event_type::poll, number);
        }
    }

    void count_message(double messages = 1) { result_.messages += is_measured() ? messages : 0; }

    void start(std::uint32_t id)
    {
        task_state& task = tasks_[id];
        worker_state& worker = workers_[task.worker];
        if (worker.state == mode::dead) {
            reply(id, start_status::not_sent);
        }
        else if (worker.state == mode::failing) {
            reply(id, start_status::task_failed);
        }
        else if (worker.running < slots_per_worker) {
            begin(id);
        }
        else if (worker.queue.size() < worker_queue) {
            worker.queue.push_back(id);
            record_load_change(worker);
        }
        else {
            result_.refused += is_measured() ? 1 : 0;
            reply(id, start_status::refused_busy);
        }
    }

    void begin(std::uint32_t id)
    {
        task_state& task = tasks_[id];
        worker_state& worker = workers_[task.worker];
        ++worker.running;
        record_load_change(worker);
        task.running = true;
        task.started_at = clock_.seconds;
        task.run_time = trace_->work[id] / worker.speed;
        add(clock_.seconds + task.run_time, event_type::done, id, task.attempt);
    }

    void finish(std::uint32_t id, start_status status)
    {
        task_state& task = tasks_[id];
        worker_state& worker = workers_[task.worker];
        task.running = false;
        --worker.running;
        if (!worker.queue.empty()) {
            const std::uint32_t next = worker.queue.front();
            worker.queue.pop_front();
            begin(next);
        }
        record_load_change(worker);
        reply(id, status);
    }

    void record_load_change(worker_state& worker) const
    {
        const worker_load load{.running = static_cast<std::uint16_t>(worker.running),
                               .queued = static_cast<std::uint16_t>(worker.queue.size()),
                               .leaving = false};
        worker.history.push_back({clock_.seconds, load});
        const double seen = clock_.seconds - settings_->lag;
        while (worker.history.size() > 1 && worker.history[1].at <= seen) {
            worker.history.pop_front();
        }
    }

    void reply(std::uint32_t id, start_status status)
    {
        task_state& task = tasks_[id];
        worker_state& worker = workers_[task.worker];
        task.status = status;
        task.has_load = status != start_status::not_sent && status != start_status::reply_lost;
        if (task.has_load) {
            record_load_change(worker);
            task.load = worker.history.front().load;
            count_message();
        }
        add(clock_.seconds + one_way_latency, event_type::reply, id);
    }

    void handle_reply(std::uint32_t id)
    {
        task_state& task = tasks_[id];
        const trace_request& request = trace_->requests[task.request];
        instance_state& instance = instances_[request.instance];
        const double elapsed = clock_.seconds - task.sent_at;
        task.in_flight = false;
        start_reply reply;
        reply.status = task.status;
        reply.load = task.load;
        reply.has_load = task.has_load;
        if (task.status == start_status::completed) {
            reply.run_time = duration{static_cast<std::int64_t>(task.run_time * 1e6)};
            count_message(std::floor(elapsed / renew_interval));
        }
        instance.task_router->record_end(task.worker, request.kind, reply,
                                         duration{static_cast<std::int64_t>(elapsed * 1e6)});
        const bool is_after_fault =
            settings_->kind != fault::none && clock_.seconds > trace_->fault_at + 1;
        if (is_after_fault && task.status != start_status::completed &&
            task.status != start_status::refused_busy) {
            result_.late_fault_hits += 1;
        }
        if (is_certainly_not_run(task.status) && !requests_[task.request].cancelled) {
            instance.queue.push_front(id);
        }
        else {
            end_task(id, task.status == start_status::completed);
            result_.tasks_after_fault += is_after_fault ? 1 : 0;
        }
        drain(request.instance);
    }

    void end_task(std::uint32_t id, bool is_completed)
    {
        task_state& task = tasks_[id];
        request_state& request = requests_[task.request];
        task.ended = true;
        result_.tasks += is_measured() ? 1 : 0;
        request.failed = request.failed || !is_completed;
        --request.left;
        const trace_request& source = trace_->requests[task.request];
        if (request.left == 0 && source.at >= settings_->warm_up && !request.cancelled) {
            if (request.failed) {
                result_.failed += 1;
            }
            else {
                result_.responses.push_back(clock_.seconds - source.at);
            }
        }
    }

    void inject_fault()
    {
        if (settings_->kind == fault::straggler) {
            workers_[0].speed /= 8;
            workers_[1].speed /= 8;
        }
        else if (settings_->kind == fault::failing_worker) {
            break_worker(0, mode::failing);
        }
        else if (settings_->kind == fault::lost_rack) {
            for (worker_id id = 0; id < workers_per_rack; ++id) {
                break_worker(id, mode::dead);
            }
        }
        else if (settings_->kind == fault::cancellation) {
            cancel_requests();
        }
    }

    void break_worker(worker_id broken, mode state)
    {
        worker_state& worker = workers_[broken];
        worker.state = state;
        worker.queue.clear();
        worker.running = 0;
        for (std::uint32_t id = 0; id < tasks_.size(); ++id) {
            task_state& task = tasks_[id];
            const bool is_there = task.in_flight && task.worker == broken;
            // A task whose start request is still in flight meets the fault on arrival.
            if (is_there && clock_.seconds - task.sent_at > one_way_latency) {
                task.running = false;
                reply(id,
                      state == mode::dead ? start_status::reply_lost : start_status::task_failed);
            }
        }
    }

    void cancel_requests()
    {
        for (std::uint32_t i = 0; i < requests_.size(); ++i) {
            const trace_request& request = trace_->requests[i];
            if (!request.cancelled || requests_[i].left == 0 || request.at > clock_.seconds) {
                continue;
            }
            requests_[i].cancelled = true;
            for (std::uint32_t k = 0; k < request.tasks; ++k) {
                const std::uint32_t id = request.first_task + k;
                if (tasks_[id].running) {
                    count_message(); // stop request
                    finish(id, start_status::stopped);
                }
            }
        }
    }

    const scenario* settings_;
    const workload_trace* trace_;
    bench_clock clock_;
    deployment deployment_;
    std::vector<task_state> tasks_;
    std::vector<request_state> requests_;
    std::vector<worker_state> workers_;
    std::vector<instance_state> instances_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    outcome result_;
};

} // namespace cactusloom::bench
