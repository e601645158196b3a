#pragma once

#include "base/timer_service.h"
#include "cell/cancelled_jobs.h"
#include "cell/cell_controller.h"
#include "cell/claim_probe.h"
#include "cell/instance_mesh.h"
#include "cell/isolation_tracker.h"
#include "cell/minority_tracker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace cactusloom {

// How an instance reads the list of workers.
enum class worker_list_mode {
    none,    // not at all: it only forwards jobs to other instances
    standby, // it may have to take control
    control,
};

// What the controllers in contact say of a job.
enum class job_presence {
    open,
    absent,  // at all of them
    unknown, // one of them has not replied, or there is none
};

// Dispatch logic of one instance: controls cells when elected, and forwards its callers' jobs to
// the instances that control the cells.
class cell_service {
public:
    using answer = std::function<void(const job_outcome&)>;

    cell_service(timer_service& timers, instance_mesh& mesh, worker_commands& commands,
                 const cell_settings& settings);
    ~cell_service();
    cell_service(const cell_service&) = delete;
    cell_service& operator=(const cell_service&) = delete;

    // Replaces the list of all workers.
    void set_workers(std::vector<worker_report> workers);

    // Reports that the mesh knows every instance in the platform's list.
    void note_instances_known();

    // Sets the time of the list of workers: it is as the platform had it at `read_started_at` or
    // later.
    void set_worker_list_time(monotonic_time read_started_at);

    // Called when this instance has claimed a cell and needs the current list of workers.
    std::function<void()> on_claim;

    // Called when the mode changes; it starts as `none`.
    std::function<void(worker_list_mode)> on_worker_list_mode;

    // Announces to the other instances which configuration version is in force here.
    void set_config_version(std::int64_t version);

    // Accepts a caller's job. `fn` runs exactly once, unless the job is abandoned.
    void submit(job_request job, answer fn);
    void abandon(const std::string& job_id);

    // Cancels a job at its caller's request; its submission is answered `failed`, and so are those
    // that arrive later. Returns false if the job is not open here.
    bool cancel(const std::string& job_id);

    // Looks for a job that a caller may have submitted to any instance, and cancels it if `cancels`
    // is true. Calls `fn` once, within 500 ms.
    using search_handler = std::function<void(job_presence)>;
    void find_job(const std::string& job_id, bool cancels, search_handler fn);

    // Answers all open jobs of this instance's callers with `outcome` and stops their tasks.
    void end_all_jobs(const job_outcome& outcome);
    bool has_job(std::string_view job_id) const { return jobs_.contains(job_id); }

    // Releases all cells and announces that this instance is leaving.
    void leave();

    bool controls_any() const;

    // True if this instance or one in contact controls workers.
    bool has_controller() const;

    std::size_t pending_jobs(std::string_view queue) const;
    std::size_t open_jobs() const { return jobs_.size(); }
    cell_counts counts() const;

    // Receives messages of peers that are not about jobs.
    instance_mesh::message_handler on_other_message;

private:
    struct submitted_job;
    struct controlled_cell;

    void tick();
    void evaluate();
    void update_worker_list_mode();
    void evaluate_cell(const std::string& cell, const std::vector<instance_view>& views);
    void probe(const std::string& cell, std::uint64_t above);
    void claim(const std::string& cell, std::uint64_t above);
    std::uint64_t next_token(std::uint64_t above) const;
    void release_cell(const std::string& cell);
    void on_fenced(const std::string& cell);
    void announce();
    bool is_ready_to_claim() const;
    bool is_any_peer_overloaded() const;
    bool is_contested(std::string_view cell) const;
    std::vector<std::string> cells_to_control(isolation_tracker::phase partition_phase) const;
    std::vector<std::string> controlled_cell_names() const;
    std::vector<worker_report> workers_of(std::string_view cell) const;
    void drop_lost_requesters();

    void stop_and_answer(const std::string& job_id, const job_outcome& outcome);
    struct job_search {
        std::string job_id;
        bool cancels = false;
        std::set<std::string, std::less<>> awaited; // instances that have not replied
        search_handler fn;
    };
    bool controls_open_job(std::string_view job_id) const;
    void end_search(std::uint64_t number, job_presence presence);
    void on_find_job(const Json::Value& message, const instance_mesh::sender& reply);
    void on_job_found(const std::string& peer, const Json::Value& message);
    void cancel_everywhere(const std::string& job_id);
    void send_cancelled(const std::string& peer, std::span<const std::string> job_ids);
    void apply_cancelled(const std::string& job_id);
    void announce_loss(const worker_loss& loss);
    void apply_loss(const worker_loss& loss);
    void abandon_at(const std::string& controller, const std::string& cell,
                    const std::string& job_id);
    void dispatch(submitted_job& job, std::span<const instance_view> claim_holders);
    void redispatch();
    void submit_again_after_silence(std::span<const std::string> controllers);
    struct job_submission;
    void on_outcome(const job_submission& submission, const job_outcome& outcome);
    void finish(const std::string& job_id, const job_outcome& outcome);
    using ended_job = std::pair<std::string, job_outcome>;
    std::vector<ended_job> unassigned_jobs_to_fail() const;
    std::vector<ended_job> overdue_jobs() const;
    void fail_jobs(const std::vector<ended_job>& jobs);
    void on_message(const peer_link& from, const Json::Value& message,
                    const instance_mesh::sender& reply);
    void on_submit(const peer_link& requester, const Json::Value& message,
                   const instance_mesh::sender& reply);
    void await_resubmissions(const peer_link& newest, int rounds);
    peer_link own_link() const { return {mesh_.own_process(), 0, mesh_.read_until()}; }

    timer_service& timers_;
    instance_mesh& mesh_;
    worker_commands& commands_;
    cell_settings settings_;
    std::shared_ptr<crash_ledger> losses_; // of all controllers, as far as known here
    std::shared_ptr<job_history> history_;
    cancelled_jobs cancelled_;                     // as far as known here
    std::set<std::string> restarted_peers_;        // not reconnected since
    std::map<std::uint64_t, job_search> searches_; // by number
    std::uint64_t last_search_ = 0;
    std::vector<worker_report> workers_;
    std::map<std::string, std::unique_ptr<controlled_cell>, std::less<>> controlled_cells_;
    std::map<std::string, std::unique_ptr<submitted_job>, std::less<>> jobs_;
    monotonic_time started_at_;
    std::int64_t config_version_ = -1;
    bool instances_known_ = false;
    worker_list_mode worker_list_mode_ = worker_list_mode::none;
    bool leaving_ = false;
    bool split_by_data_centre_ = false;
    isolation_tracker isolation_;
    minority_tracker minority_;
    std::map<std::string, std::unique_ptr<claim_probe>, std::less<>> probes_; // by cell
    timer_id tick_timer_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
