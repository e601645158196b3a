#include "stand_in/worker_stand_in_client.h"

#include <utility>

namespace cactusloom {
namespace {

// As in http_worker_client: timeout of a worker that does not reply, after the caller's deadline.
constexpr duration reply_grace = std::chrono::seconds{1};

bool loses_reply(worker_fault fault)
{
    return fault == worker_fault::closes || fault == worker_fault::replies_garbage ||
           fault == worker_fault::replies_for_other;
}

} // namespace

worker_stand_in_client::worker_stand_in_client(timer_service& timers, workers targets)
    : timers_(timers), workers_(std::move(targets))
{
}

void worker_stand_in_client::start(worker_id worker, const start_request& request, callback done)
{
    if (worker >= workers_.size()) {
        timers_.schedule(duration::zero(), [done = std::move(done)] {
            done({.status = start_status::not_sent, .payload = "no such worker", .load = {}});
        });
        return;
    }
    struct call {
        callback done;
        timer_id limit_timer = 0;
    };
    auto it = std::make_shared<call>();
    it->done = std::move(done);
    it->limit_timer = timers_.schedule(request.time_left + reply_grace, [it] {
        if (auto fn = std::exchange(it->done, nullptr)) {
            fn({.payload = "no reply within the limit", .load = {}});
        }
    });
    auto target = workers_[worker];
    target->start(request, [this, it, target](start_reply reply) {
        timers_.cancel(it->limit_timer);
        if (loses_reply(target->behaviour().fault) && !is_certainly_not_run(reply.status)) {
            reply = {};
        }
        if (auto fn = std::exchange(it->done, nullptr)) {
            fn(std::move(reply));
        }
    });
}

void worker_stand_in_client::renew(worker_id worker, std::string_view task_id, duration lease)
{
    if (worker < workers_.size()) {
        workers_[worker]->renew(task_id, lease);
    }
}

void worker_stand_in_client::stop(worker_id worker, std::string_view task_id)
{
    if (worker < workers_.size()) {
        workers_[worker]->stop(task_id);
    }
}

} // namespace cactusloom
