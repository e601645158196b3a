#include "account_observer.h"

#include "account/account_writer.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {
namespace {

account_outcome to_outcome(job_state state)
{
    switch (state) {
    case job_state::completed:
        return account_outcome::completed;
    case job_state::failed_not_run:
        return account_outcome::failed_not_run;
    case job_state::failed_after_run:
        return account_outcome::failed_after_run;
    default:
        return account_outcome::unknown;
    }
}

account_receipt to_receipt(const received_job& details)
{
    return {std::string(details.customer), std::string(details.id), std::string(details.kind),
            static_cast<std::uint32_t>(details.tasks), details.received};
}

} // namespace

void account_observer::job_received(job_number job, const received_job& details)
{
    account_record& record = open_[job];
    record.receipt = to_receipt(details);
    record.configuration_version = names_.configuration_version();
    writer_.received(record.receipt);
}

void account_observer::task_started(job_number job, std::uint32_t /*task*/, worker_id worker)
{
    const auto found = open_.find(job);
    if (found == open_.end()) {
        return;
    }
    const std::string name = names_.worker(worker);
    auto& uses = found->second.workers;
    const auto use =
        std::find_if(uses.begin(), uses.end(), [&](const auto& it) { return it.worker == name; });
    if (use == uses.end()) {
        uses.push_back({name, 1});
    }
    else {
        ++use->starts;
    }
}

void account_observer::task_ended(job_number job, std::uint32_t /*task*/, worker_id worker,
                                  start_status status)
{
    const auto found = open_.find(job);
    if (found == open_.end() || !is_certainly_not_run(status)) {
        return;
    }
    const std::string name = names_.worker(worker);
    auto& uses = found->second.workers;
    const auto use =
        std::find_if(uses.begin(), uses.end(), [&](const auto& it) { return it.worker == name; });
    if (use != uses.end() && --use->starts == 0) {
        uses.erase(use);
    }
}

void account_observer::job_finished(job_number job, const finished_job& details)
{
    const auto found = open_.find(job);
    if (found == open_.end()) {
        return;
    }
    account_record record = std::move(found->second);
    open_.erase(found);
    record.decided = details.first_start;
    record.answered = details.finished;
    record.outcome = to_outcome(details.state);
    record.reason = details.reason;
    record.answers = 1;
    const auto starts = record.starts();
    if (starts > record.receipt.tasks && names_.may_start_twice(record.receipt.kind)) {
        record.second_starts = static_cast<std::uint32_t>(starts - record.receipt.tasks);
    }
    writer_.ended(std::move(record));
}

void account_observer::job_refused(const received_job& details, const error& reason)
{
    // A conflict or an id that is not known here says nothing about the submission of that id.
    if (reason.code == errc::conflict || reason.code == errc::not_found) {
        return;
    }
    account_record record;
    record.receipt = to_receipt(details);
    // A refused id may be submitted again and then has an end of its own.
    record.receipt.submission_id = fmt::format("{}#refused-{}", details.id, ++refusals_);
    record.decided = details.received;
    record.answered = details.received;
    record.outcome = account_outcome::failed_not_run;
    record.reason = reason.message;
    record.configuration_version = names_.configuration_version();
    record.answers = 1;
    writer_.ended(std::move(record));
}

} // namespace cactusloom
