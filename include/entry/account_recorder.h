#pragma once

#include "account/account_record.h"
#include "dispatch/job_observer.h"

#include <memory>
#include <unordered_map>

namespace cactusloom {

class account_writer;
struct deployment;

// Converts job events into account records, one record per job regardless of its number of tasks.
class account_recorder final : public job_observer {
public:
    // The writer must outlive the recorder.
    explicit account_recorder(account_writer& writer) : writer_(writer) {}

    // Sets the current configuration, from which worker names are taken, and its version, which is
    // written into the records.
    void apply(std::shared_ptr<const deployment> settings, std::uint64_t version);

    void job_received(job_number job, const received_job& details) override;
    void task_started(job_number job, std::uint32_t task, worker_id worker) override;
    void task_ended(job_number job, std::uint32_t task, worker_id worker,
                    start_status status) override;
    void job_finished(job_number job, const finished_job& details) override;
    void job_refused(const received_job& details, const error& reason) override;

    std::size_t open_records() const { return open_.size(); }

private:
    worker_use* find_use(account_record& record, worker_id worker, bool add) const;
    account_record make_record(const received_job& details) const;

    account_writer& writer_;
    std::shared_ptr<const deployment> settings_;
    std::uint64_t version_ = 0;
    std::uint64_t refusals_ = 0;
    std::unordered_map<job_number, account_record> open_;
};

} // namespace cactusloom
