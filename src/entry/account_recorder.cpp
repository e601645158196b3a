#include "entry/account_recorder.h"

#include "account/account_writer.h"
#include "config/deployment.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {
namespace {

account_outcome outcome_of(job_state state)
{
    switch (state) {
    case job_state::completed:
        return account_outcome::completed;
    case job_state::failed_not_run:
        return account_outcome::failed_not_run;
    case job_state::failed_after_run:
        return account_outcome::failed_after_run;
    case job_state::running:
    case job_state::unknown:
        break;
    }
    return account_outcome::unknown;
}

bool allows_second_start(const deployment& settings, std::string_view kind)
{
    return std::any_of(settings.kinds.begin(), settings.kinds.end(),
                       [kind](const auto& it) { return it.name == kind && it.second_start; });
}

} // namespace

void account_recorder::apply(std::shared_ptr<const deployment> settings, std::uint64_t version)
{
    settings_ = std::move(settings);
    version_ = version;
}

account_record account_recorder::make_record(const received_job& details) const
{
    account_record record;
    record.receipt.customer = details.customer;
    record.receipt.submission_id = details.id;
    record.receipt.kind = details.kind;
    record.receipt.tasks = static_cast<std::uint32_t>(details.tasks);
    record.receipt.received = details.received;
    record.configuration_version = version_;
    return record;
}

void account_recorder::job_received(job_number job, const received_job& details)
{
    account_record record = make_record(details);
    writer_.received(record.receipt);
    open_.emplace(job, std::move(record));
}

worker_use* account_recorder::find_use(account_record& record, worker_id worker, bool add) const
{
    const std::string& name = settings_->workers[worker].name;
    const auto it = std::find_if(record.workers.begin(), record.workers.end(),
                                 [&](const worker_use& use) { return use.worker == name; });
    if (it != record.workers.end()) {
        return &*it;
    }
    return add ? &record.workers.emplace_back(worker_use{name, 0}) : nullptr;
}

void account_recorder::task_started(job_number job, std::uint32_t /*task*/, worker_id worker)
{
    const auto it = open_.find(job);
    if (it != open_.end()) {
        ++find_use(it->second, worker, true)->starts;
    }
}

void account_recorder::task_ended(job_number job, std::uint32_t /*task*/, worker_id worker,
                                  start_status status)
{
    const auto it = open_.find(job);
    if (it == open_.end() || !is_certainly_not_run(status)) {
        return;
    }
    worker_use* use = find_use(it->second, worker, false);
    if (use != nullptr && --use->starts == 0) {
        it->second.workers.erase(it->second.workers.begin() + (use - it->second.workers.data()));
    }
}

void account_recorder::job_finished(job_number job, const finished_job& details)
{
    const auto it = open_.find(job);
    if (it == open_.end()) {
        return;
    }
    account_record record = std::move(it->second);
    open_.erase(it);
    record.decided = details.first_start;
    record.answered = details.finished;
    record.outcome = outcome_of(details.state);
    record.reason = details.reason;
    record.answers = 1;
    if (allows_second_start(*settings_, record.receipt.kind)) {
        const std::uint64_t starts = record.starts();
        record.second_starts = static_cast<std::uint32_t>(
            starts > record.receipt.tasks ? starts - record.receipt.tasks : 0);
    }
    writer_.ended(std::move(record));
}

void account_recorder::job_refused(const received_job& details, const error& reason)
{
    // These refusals say nothing about the outcome of the submission with this id.
    if (reason.code == errc::conflict || reason.code == errc::not_found) {
        return;
    }
    account_record record = make_record(details);
    // A refused id may be submitted again and then gets its own record, so this one is renamed.
    record.receipt.submission_id = fmt::format("{}#refused-{}", details.id, ++refusals_);
    record.decided = details.received;
    record.answered = details.received;
    record.outcome = account_outcome::failed_not_run;
    record.reason = reason.message;
    record.answers = 1;
    writer_.ended(std::move(record));
}

} // namespace cactusloom
