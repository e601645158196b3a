#pragma once

#include "account/account_record.h"
#include "dispatch/job_observer.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace cactusloom {

class account_writer;

// Turns what the dispatcher reports into account records.
class account_observer final : public job_observer {
public:
    struct names {
        std::function<std::string(worker_id)> worker;
        std::function<std::uint64_t()> configuration_version;
        std::function<bool(std::string_view kind)> may_start_twice;
    };

    // The writer must outlive the observer.
    account_observer(account_writer& writer, names with) : writer_(writer), names_(std::move(with))
    {
    }

    void job_received(job_number job, const received_job& details) override;
    void task_started(job_number job, std::uint32_t task, worker_id worker) override;
    void task_ended(job_number job, std::uint32_t task, worker_id worker,
                    start_status status) override;
    void job_finished(job_number job, const finished_job& details) override;
    void job_refused(const received_job& details, const error& reason) override;

private:
    account_writer& writer_;
    names names_;
    std::unordered_map<job_number, account_record> open_;
    std::uint64_t refusals_ = 0;
};

} // namespace cactusloom
