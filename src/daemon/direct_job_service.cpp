#include "direct_job_service.h"

#include <algorithm>
#include <boost/outcome/success_failure.hpp>
#include <fmt/format.h>

namespace cactusloom {

struct direct_job_service::job {
    job_request request;
    job_status status;
    job_answer answer;
    std::vector<answer_callback> waiting;
};

direct_job_service::direct_job_service(timer_service& timers, worker_client& workers,
                                       const deployment& settings)
    : timers_(timers), workers_(workers), settings_(settings)
{
}

result<void> direct_job_service::submit(job_request request)
{
    const bool known = std::any_of(settings_.kinds.begin(), settings_.kinds.end(),
                                   [&](const auto& it) { return it.name == request.kind; });
    if (!known) {
        return failure(errc::invalid_argument, "unknown kind");
    }
    auto& slot = jobs_[request.id];
    if (slot) {
        if (slot->request.payloads != request.payloads) {
            return failure(errc::conflict, "the id is in use with other content");
        }
        return boost::outcome_v2::success();
    }
    slot = std::make_shared<job>();
    const auto it = slot;
    it->request = std::move(request);
    it->status.tasks = it->request.payloads.size();
    it->answer.state = job_state::completed;
    it->answer.answers.resize(it->status.tasks);
    for (std::size_t n = 0; n < it->status.tasks; ++n) {
        const std::string task_id = fmt::format("{}/{}", it->request.id, n);
        ++it->status.started;
        workers_.start(next_worker_++ % static_cast<worker_id>(settings_.workers.size()),
                       {task_id, it->request.kind, it->request.payloads[n], settings_.lease,
                        it->request.deadline},
                       [this, it, n](const start_reply& reply) { end_task(it, n, reply); });
    }
    return boost::outcome_v2::success();
}

void direct_job_service::end_task(const std::shared_ptr<job>& it, std::size_t n,
                                  const start_reply& reply)
{
    if (reply.status == start_status::completed) {
        it->answer.answers[n] = reply.payload;
    }
    else {
        it->answer.state = reply.status == start_status::reply_lost ? job_state::unknown
                                                                    : job_state::failed_after_run;
        it->answer.reason = reply.payload;
    }
    if (++it->status.finished == it->status.tasks) {
        it->status.state = it->answer.state;
        for (const auto& done : std::exchange(it->waiting, {})) {
            done(it->answer);
        }
    }
}

void direct_job_service::wait(std::string_view id, duration /*limit*/, answer_callback done)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second->status.state != job_state::running) {
        const auto answer = found == jobs_.end() ? job_answer{} : found->second->answer;
        timers_.schedule(duration::zero(), [done = std::move(done), answer] { done(answer); });
        return;
    }
    found->second->waiting.push_back(std::move(done));
}

result<job_status> direct_job_service::status(std::string_view id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return failure(errc::not_found, "unknown id");
    }
    return found->second->status;
}

result<void> direct_job_service::cancel(std::string_view /*id*/)
{
    return failure(errc::unavailable, "not supported");
}

void direct_job_service::shut_down(std::function<void()> drained)
{
    timers_.schedule(duration::zero(), std::move(drained));
}

const char* to_string(job_state state)
{
    constexpr const char* names[] = {"running", "completed", "failed_not_run", "failed_after_run",
                                     "unknown"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace cactusloom
