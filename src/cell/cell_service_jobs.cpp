// The jobs of this instance's callers, from submission through changes of controller to the answer.
#include "cell/mesh_codec.h"
#include "cell_choice.h"
#include "cell_service_internal.h"

namespace cactusloom {

namespace {

// A job that could not be sent to any controller for this long is refused.
constexpr duration no_controller_timeout = std::chrono::seconds{1};
constexpr duration controller_retry_after = std::chrono::seconds{1};
// The controller ends jobs at their deadline; the submitting instance ends a job itself if no
// outcome has arrived by then.
constexpr duration outcome_grace = std::chrono::milliseconds{100};

} // namespace

void cell_service::submit(job_request request, answer fn)
{
    if (cancelled_.contains(request.id)) {
        log_request_event("submission_of_cancelled_job", "id={}", request.id);
        fn({job_end::failed, {}, "cancelled before"});
        return;
    }
    const auto now = timers_.monotonic_now();
    history_->add(job_event::submitted, request.id, request.terms.queue);
    auto& job = jobs_[request.id];
    if (job) {
        // The caller has resubmitted the job while it is open: the newer connection replaces the
        // older one.
        job->fn({job_end::unknown, {}, "submitted again"});
        job->fn = std::move(fn);
        job->deadline = std::max(job->deadline, now + request.time_left);
        return;
    }
    job = std::make_unique<submitted_job>();
    job->fn = std::move(fn);
    job->arrived = now;
    job->deadline = now + request.time_left;
    job->request = std::move(request);
    dispatch(*job, mesh_.claim_holders());
    fail_jobs(unassigned_jobs_to_fail());
}

void cell_service::abandon(const std::string& job_id)
{
    const auto it = jobs_.find(job_id);
    if (it == jobs_.end()) {
        return;
    }
    // A controller that was lost may be in contact again, and still have the job.
    const auto& job = *it->second;
    const auto controller = job.controller.empty() ? job.former_controller : job.controller;
    const auto cell = job.sent_cell;
    log_request_event("job_abandoned", "id={} controller={} cell={} age_ms={} read_lag_ms={}",
                      job_id, controller, cell,
                      (timers_.monotonic_now() - job.arrived).count() / 1000,
                      (timers_.monotonic_now() - *mesh_.read_until()).count() / 1000);
    history_->add(job_event::abandoned, job_id, controller);
    history_->log_job(job_id, "given up");
    jobs_.erase(it);
    if (!controller.empty()) {
        abandon_at(controller, cell, job_id);
    }
}

// Tells a controller that nobody waits for the job any more.
void cell_service::abandon_at(const std::string& controller, const std::string& cell,
                              const std::string& job_id)
{
    if (controller == mesh_.self().name) {
        if (const auto controlled = controlled_cells_.find(cell);
            controlled != controlled_cells_.end()) {
            controlled->second->controller->abandon(job_id, own_link());
        }
        return;
    }
    Json::Value message;
    message["t"] = "abandon";
    message["id"] = job_id;
    message["cell"] = cell;
    // The controller drops the job once it is out of contact, or misses it on the next link.
    if (!mesh_.send(controller, message)) {
        log_request_event("abandon_unsent", "id={} controller={}", job_id, controller);
    }
}

bool cell_service::cancel(const std::string& job_id)
{
    if (!has_job(job_id)) {
        return false;
    }
    stop_and_answer(job_id, {job_end::failed, {}, "cancelled"});
    cancel_everywhere(job_id);
    return true;
}

// Ends a job that this instance answers as cancelled wherever it may be, now or later.
void cell_service::cancel_everywhere(const std::string& job_id)
{
    cancelled_.add(job_id, true);
    for (const auto& it : mesh_.linked_views()) {
        // Also on the link of a peer that does not reply: it may be paused, and read it later.
        if (it.name != mesh_.self().name) {
            send_cancelled(it.name, std::span(&job_id, 1));
        }
    }
    for (const auto& [cell, controlled] : controlled_cells_) {
        controlled->controller->cancel(job_id);
    }
}

// Tells an instance that may control workers now or later. What is lost with a link is sent again
// on the next one.
void cell_service::send_cancelled(const std::string& peer, std::span<const std::string> job_ids)
{
    if (job_ids.empty()) {
        return;
    }
    Json::Value message;
    message["t"] = "cancelled";
    for (const auto& it : job_ids) {
        message["ids"].append(it);
    }
    if (!mesh_.send(peer, message)) {
        log_request_event("cancellation_unsent", "instance={} jobs={}", peer, job_ids.size());
    }
}

void cell_service::apply_cancelled(const std::string& job_id)
{
    if (!cancelled_.add(job_id, false)) {
        return;
    }
    for (const auto& [cell, controlled] : controlled_cells_) {
        controlled->controller->cancel(job_id);
    }
}

void cell_service::stop_and_answer(const std::string& job_id, const job_outcome& outcome)
{
    const auto fn = jobs_.at(job_id)->fn;
    history_->add(job_event::answered, job_id, to_string(outcome.end));
    abandon(job_id);
    fn(outcome);
}

void cell_service::end_all_jobs(const job_outcome& outcome)
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        if (!has_job(id)) {
            continue;
        }
        log_request_event("job_given_up", "id={} end={} reason=\"{}\"", id, to_string(outcome.end),
                          outcome.reason);
        stop_and_answer(id, outcome);
    }
}

void cell_service::dispatch(submitted_job& job, std::span<const instance_view> claim_holders)
{
    const auto& self = mesh_.self();
    const auto now = timers_.monotonic_now();
    // Only a controller of the same workers can find the tasks that still run. After the quarantine
    // none of them runs any more, and any controller may start them again.
    const bool bound = job.sent && now - job.lost_at < lost_job_quarantine;
    const auto [target, target_claim] =
        choose_cell(claim_holders, {job.request.id, self.data_centre, job.refused_by,
                                    bound ? std::string_view(job.sent_cell) : std::string_view()});
    // A job that is held back here because of an overdue reply can still go to the next controller;
    // once sent, it is bound to the workers of the controller that stopped replying.
    if (target == nullptr || mesh_.reply_overdue(target->name)) {
        return;
    }
    if (job.may_have_run) {
        log_request_event(
            "job_sent_again",
            "id={} controller={} cell={} former={} lost_ms={} resumed={} time_left_ms={}",
            job.request.id, target->name, target_claim->cell, job.former_controller,
            (now - job.lost_at).count() / 1000, bound, (job.deadline - now).count() / 1000);
    }
    if (!bound) {
        job.former_workers.clear(); // no task of an earlier submission runs any more
        const auto former = std::exchange(job.former_controller, {});
        if (!former.empty() && (former != target->name || job.sent_cell != target_claim->cell)) {
            abandon_at(former, job.sent_cell, job.request.id); // it may still read the submission
        }
    }
    job.request.resumed = bound;
    job.request.former_workers = job.former_workers;
    job.request.age = now - job.arrived;
    job.request.time_left = job.deadline - now;
    const auto id = job.request.id;
    const auto number = ++job.submissions;
    history_->add(job_event::sent, id, target->name, number);
    if (target->name == self.name) {
        const auto controlled = controlled_cells_.find(target_claim->cell);
        if (controlled == controlled_cells_.end()) {
            return;
        }
        job.send_to(target->name, *target_claim);
        controlled->second->controller->submit(
            job.request, own_link(),
            [this, alive = alive_, id, number,
             cell = target_claim->cell](const job_outcome& outcome) {
                if (*alive) {
                    on_outcome({id, mesh_.self().name, cell, number}, outcome);
                }
            });
        return;
    }
    Json::Value message;
    message["t"] = "submit";
    message["cell"] = target_claim->cell;
    message["submission"] = number;
    message["as_of"] = Json::Int64{mesh_.read_until_ms(target->name)};
    message["job"] = encode_job(job.request);
    if (mesh_.send(target->name, message)) {
        job.send_to(target->name, *target_claim);
    }
}

void cell_service::redispatch()
{
    if (jobs_.empty()) {
        return;
    }
    const auto claim_holders = mesh_.claim_holders();
    std::map<std::pair<std::string_view, std::string_view>, const shared_worker_set*> claimed;
    for (const auto& view : claim_holders) {
        for (const auto& it : view.claims) {
            claimed[{view.name, it.cell}] = &it.workers;
        }
    }
    std::vector<std::string> waiting;
    for (auto& [id, job] : jobs_) {
        if (!job->controller.empty()) {
            const auto holder = claimed.find({job->controller, job->cell});
            if (holder == claimed.end()) {
                if (!mesh_.is_in_contact(job->controller)) {
                    mesh_.replace_link(job->controller);
                }
                job->lose_controller(timers_.monotonic_now(), "not in control or out of touch");
            }
            else {
                job->sent_workers = *holder->second;
            }
        }
        if (job->controller.empty()) {
            waiting.push_back(id);
        }
    }
    for (const auto& id : waiting) {
        if (const auto it = jobs_.find(id); it != jobs_.end()) {
            dispatch(*it->second, claim_holders);
        }
    }
}

void cell_service::on_outcome(const job_submission& submission, const job_outcome& outcome)
{
    const auto& job_id = submission.job_id;
    const auto it = jobs_.find(job_id);
    if (it == jobs_.end() || !it->second->is_current(submission)) {
        return; // outcome of an earlier submission
    }
    auto& job = *it->second;
    if (outcome.end == job_end::moved) {
        // The next evaluation finds the new controller.
        job.lose_controller(timers_.monotonic_now(), "moved");
        return;
    }
    if (outcome.end == job_end::not_run && job.may_have_run) {
        // The controller may still have the earlier submission, which heartbeats would renew.
        stop_and_answer(job_id, {job_end::unknown, {}, "an earlier submission of it may have run"});
        return;
    }
    if (outcome.end == job_end::not_run) {
        job.refused_by.insert(submission.cell);
        job.controller.clear();
        job.sent = false;                     // no task has run there
        dispatch(job, mesh_.claim_holders()); // may end the job synchronously
        const auto remaining = jobs_.find(job_id);
        if (remaining != jobs_.end() && remaining->second->controller.empty()) {
            finish(job_id, outcome);
        }
        return;
    }
    finish(job_id, outcome);
}

void cell_service::finish(const std::string& job_id, const job_outcome& outcome)
{
    const auto it = jobs_.find(job_id);
    if (it == jobs_.end()) {
        return;
    }
    history_->add(job_event::answered, job_id, to_string(outcome.end));
    const auto job = std::move(it->second);
    jobs_.erase(it);
    job->fn(outcome);
}

// Jobs without a controller in contact, once this instance is in the minority side of a partition.
// It cannot tell when it will be able to serve them; other instances can serve them at once.
std::vector<cell_service::ended_job> cell_service::unassigned_jobs_to_fail() const
{
    std::vector<ended_job> out;
    if (minority_.should_fail_unassigned_jobs(timers_.monotonic_now())) {
        for (const auto& [id, job] : jobs_) {
            if (job->controller.empty()) {
                out.emplace_back(
                    id, job->may_have_run || job->sent
                            ? job_outcome{job_end::unknown, {}, "on the smaller side of a cut"}
                            : job_outcome{job_end::not_run, controller_retry_after,
                                          "on the smaller side of a cut"});
            }
        }
    }
    return out;
}

std::vector<cell_service::ended_job> cell_service::overdue_jobs() const
{
    const auto now = timers_.monotonic_now();
    std::vector<ended_job> out;
    for (const auto& [id, job] : jobs_) {
        if (!job->sent && now - job->arrived > no_controller_timeout) {
            out.emplace_back(
                id, job_outcome{job_end::not_run, controller_retry_after, "no controller"});
        }
        else if (now > job->deadline + outcome_grace) {
            out.emplace_back(id, job->sent ? job_outcome{job_end::unknown, {}, "no outcome"}
                                           : job_outcome{job_end::not_run, controller_retry_after,
                                                         "no controller"});
        }
    }
    return out;
}

void cell_service::fail_jobs(const std::vector<ended_job>& jobs)
{
    for (const auto& [id, outcome] : jobs) {
        const auto it = jobs_.find(id);
        if (it == jobs_.end()) {
            continue; // ended by the answer to another one
        }
        log_request_event("job_given_up", "id={} end={} reason=\"{}\"", id, to_string(outcome.end),
                          outcome.reason);
        if (it->second->controller.empty()) {
            finish(id, outcome);
        }
        else {
            stop_and_answer(id, outcome); // else heartbeats would go on renewing its lease
        }
    }
}

} // namespace cactusloom
