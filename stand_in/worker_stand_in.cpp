#include "stand_in/worker_stand_in.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {

worker_stand_in::worker_stand_in(timer_service& timers, worker_behaviour behaviour)
    : timers_(timers), behaviour_(std::move(behaviour))
{
}

void worker_stand_in::start(const start_request& request, callback done)
{
    if (behaviour_.leaving) {
        reply_later(start_status::refused_leaving, "leaving", std::move(done));
        return;
    }
    if (running_.size() >= behaviour_.slots && queue_.size() >= behaviour_.max_queue) {
        reply_later(start_status::refused_busy, "no slot and the queue is full", std::move(done));
        return;
    }
    ++starts_[std::string(request.task_id)];
    auto it = std::make_shared<task>();
    it->id = request.task_id;
    it->kind = request.kind;
    it->payload = request.payload;
    it->lease = request.lease;
    it->done = std::move(done);
    queue_.push_back(std::move(it));
    run_next();
}

void worker_stand_in::reply_later(start_status status, std::string payload, callback done)
{
    start_reply reply;
    reply.status = status;
    reply.payload = std::move(payload);
    reply.load = load();
    reply.has_load = true;
    timers_.schedule(duration::zero(),
                     [reply = std::move(reply), done = std::move(done)] { done(reply); });
}

void worker_stand_in::run_next()
{
    while (running_.size() < behaviour_.slots && !queue_.empty()) {
        const task_ptr it = queue_.front();
        queue_.pop_front();
        // A duplicate start runs concurrently with the first one.
        std::string key = it->id;
        while (running_.contains(key)) {
            key += '+';
        }
        it->id = key;
        it->started = timers_.monotonic_now();
        running_[key] = it;
        it->end_timer = timers_.schedule(run_time_of(it->kind), [this, it] {
            end(it, behaviour_.fault == worker_fault::fails_tasks ? start_status::task_failed
                                                                  : start_status::completed);
        });
        if (it->lease > duration::zero()) {
            it->lease_timer =
                timers_.schedule(it->lease, [this, it] { end(it, start_status::lease_lapsed); });
        }
    }
}

void worker_stand_in::end(const task_ptr& it, start_status status)
{
    timers_.cancel(it->end_timer);
    timers_.cancel(it->lease_timer);
    running_.erase(it->id);
    run_next();
    if (behaviour_.fault == worker_fault::never_replies) {
        return;
    }
    start_reply reply;
    reply.status = status;
    reply.payload = status == start_status::completed ? fmt::format("{}:{}", it->kind, it->payload)
                                                      : to_string(behaviour_.fault);
    reply.run_time = timers_.monotonic_now() - it->started;
    reply.load = load();
    reply.has_load = true;
    it->done(reply);
}

void worker_stand_in::renew(std::string_view task_id, duration lease)
{
    const auto found = running_.find(std::string(task_id));
    if (found == running_.end()) {
        return;
    }
    const task_ptr it = found->second;
    timers_.cancel(it->lease_timer);
    it->lease_timer = timers_.schedule(lease, [this, it] { end(it, start_status::lease_lapsed); });
}

void worker_stand_in::stop(std::string_view task_id)
{
    const auto found = running_.find(std::string(task_id));
    if (found != running_.end()) {
        end(task_ptr(found->second), start_status::stopped);
        return;
    }
    const auto queued = std::find_if(queue_.begin(), queue_.end(),
                                     [&](const auto& it) { return it->id == task_id; });
    if (queued != queue_.end()) {
        const task_ptr it = *queued;
        queue_.erase(queued);
        it->started = timers_.monotonic_now();
        end(it, start_status::stopped);
    }
}

worker_load worker_stand_in::load() const
{
    return {static_cast<std::uint16_t>(running_.size()), static_cast<std::uint16_t>(queue_.size()),
            behaviour_.leaving};
}

int worker_stand_in::most_starts_of_a_task() const
{
    int most = 0;
    for (const auto& [id, count] : starts_) {
        most = std::max(most, count);
    }
    return most;
}

duration worker_stand_in::run_time_of(std::string_view kind) const
{
    const auto found = behaviour_.run_times.find(kind);
    const auto time =
        found == behaviour_.run_times.end() ? behaviour_.default_run_time : found->second;
    return std::chrono::duration_cast<duration>(time / behaviour_.speed);
}

const char* to_string(worker_fault fault)
{
    switch (fault) {
    case worker_fault::none:
        return "none";
    case worker_fault::fails_tasks:
        return "fails_tasks";
    case worker_fault::never_replies:
        return "never_replies";
    case worker_fault::closes:
        return "closes";
    case worker_fault::replies_garbage:
        return "replies_garbage";
    case worker_fault::replies_for_other:
        return "replies_for_other";
    }
    return "";
}

} // namespace cactusloom
