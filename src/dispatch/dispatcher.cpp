#include "dispatch/dispatcher.h"

#include "engine.h"

namespace cactusloom {

const char* to_string(job_state state)
{
    switch (state) {
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed_not_run:
        return "failed_not_run";
    case job_state::failed_after_run:
        return "failed_after_run";
    case job_state::unknown:
        return "unknown";
    }
    return "unknown";
}

dispatcher::dispatcher(const deployment& settings, dispatcher_options options,
                       const dependencies& deps)
    : engine_(std::make_unique<engine>(settings, std::move(options), deps))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::apply(const deployment& settings)
{
    engine_->apply(settings);
}

result<void> dispatcher::submit(submission_request request)
{
    return engine_->submit(std::move(request));
}

void dispatcher::wait(std::string_view id, duration limit, answer_callback done)
{
    engine_->wait(id, limit, std::move(done));
}

result<job_status> dispatcher::status(std::string_view id) const
{
    return engine_->status(id);
}

result<void> dispatcher::cancel(std::string_view id)
{
    return engine_->cancel(id);
}

std::string dispatcher::issue_prefix()
{
    return engine_->issue_prefix();
}

void dispatcher::shut_down(std::function<void()> drained)
{
    engine_->shut_down(std::move(drained));
}

void dispatcher::set_share(double share)
{
    engine_->set_share(share);
}

std::size_t dispatcher::open_jobs() const
{
    return engine_->open_jobs();
}

std::size_t dispatcher::queued_tasks() const
{
    return engine_->queued_tasks();
}

std::size_t dispatcher::bytes() const
{
    return engine_->bytes();
}

const latency_recorder& dispatcher::latency() const
{
    return engine_->latency();
}

} // namespace cactusloom
