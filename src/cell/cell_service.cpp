#include "cell/cell_service.h"

#include "cell/mesh_codec.h"
#include "cell_service_internal.h"
#include "http/json_fields.h"

#include <algorithm>

namespace cactusloom {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{50};
// A submission whose requester has read its callers longer ago leaves too little of the job's lease
// to start its tasks.
constexpr duration max_submission_age = std::chrono::milliseconds{900};
static_assert(max_submission_age + min_start_lease <= job_lease);
// A requester submits its open jobs again as soon as its new link is connected and the controller's
// claim is known there, which takes a round trip and a tick.
constexpr duration resubmission_round = std::chrono::milliseconds{100};
// Each round is an iteration of the event loop of its own, so that a late loop reads what has
// arrived before it ends jobs.
constexpr int resubmission_rounds = 3;
// By then jobs of a lost controller or of callers that return (resendMs) have arrived elsewhere.
constexpr duration second_arrivals_delay = std::chrono::milliseconds{2500};
constexpr duration outdated_retry_after = std::chrono::seconds{2};

} // namespace

cell_service::cell_service(timer_service& timers, instance_mesh& mesh, worker_commands& commands,
                           const cell_settings& settings)
    : on_claim([] {}), on_worker_list_mode([](worker_list_mode) {}),
      on_other_message([](const peer_link&, const Json::Value&, const instance_mesh::sender&) {}),
      timers_(timers), mesh_(mesh), commands_(commands), settings_(settings),
      losses_(std::make_shared<crash_ledger>(timers)),
      history_(std::make_shared<job_history>(timers)), cancelled_(timers),
      started_at_(timers.monotonic_now())
{
    mesh_.on_change = [this] { evaluate(); };
    mesh_.on_restart = [this](const std::string& peer) {
        for (auto& [id, job] : jobs_) {
            if (job->controller == peer) {
                job->lose_controller(timers_.monotonic_now(), "restarted");
            }
        }
        // Who acknowledged a cancellation may have been restarted as well.
        send_cancelled(peer, cancelled_.all());
        restarted_peers_.insert(peer);
    };
    mesh_.on_reconnect = [this](const std::string& peer) {
        for (auto& [id, job] : jobs_) {
            if (job->controller == peer) {
                // An outcome may have been lost with the old link.
                job->lose_controller(timers_.monotonic_now(), "link replaced");
            }
        }
        // The peer may have missed them. A restart that was learned of on its link to this instance
        // may have been answered on a dead one.
        send_cancelled(peer, restarted_peers_.erase(peer) != 0 ? cancelled_.all()
                                                               : cancelled_.acknowledged_here());
        redispatch();
    };
    mesh_.on_peer_reconnect = [this](const peer_link& link) {
        if (!controlled_cells_.empty()) {
            await_resubmissions(link, resubmission_rounds);
        }
    };
    mesh_.on_contact_lost = [this] {
        history_->log_arrivals("contact lost");
        timers_.schedule(second_arrivals_delay, [this, alive = alive_] {
            if (*alive) {
                history_->log_arrivals("after contact was lost");
            }
        });
    };
    mesh_.on_own_silence = [this](std::span<const std::string> peers) {
        submit_again_after_silence(peers);
    };
    mesh_.controllers_of_own_jobs = [this] {
        std::set<std::string> out;
        for (const auto& [id, job] : jobs_) {
            out.insert(job->controller);
        }
        return out;
    };
    mesh_.on_message = [this](const peer_link& from, const Json::Value& message,
                              const instance_mesh::sender& reply) {
        on_message(from, message, reply);
    };
    tick_timer_ = timers_.schedule(tick_interval, [this] { tick(); });
}

// The controllers may have dropped the jobs of this instance. A job that does not go back to its
// controller must not be renewed there any more.
void cell_service::submit_again_after_silence(std::span<const std::string> controllers)
{
    std::vector<std::pair<std::string, std::string>> lost; // job and controller
    for (auto& [id, job] : jobs_) {
        if (std::ranges::find(controllers, job->controller) != controllers.end()) {
            lost.emplace_back(id, job->controller);
            job->lose_controller(timers_.monotonic_now(), "own silence");
        }
    }
    redispatch();
    for (const auto& [id, controller] : lost) {
        const auto it = jobs_.find(id);
        if (it == jobs_.end() || it->second->controller != controller) {
            mesh_.replace_link(controller);
        }
    }
}

void cell_service::tick()
{
    tick_timer_ = timers_.schedule(tick_interval, [this] { tick(); });
    evaluate();
    announce(); // the set of workers that accepted the token changes after a claim
    drop_lost_requesters();
    fail_jobs(unassigned_jobs_to_fail());
    fail_jobs(overdue_jobs());
}

cell_service::~cell_service()
{
    *alive_ = false;
    timers_.cancel(tick_timer_);
}

void cell_service::set_workers(std::vector<worker_report> workers)
{
    workers_ = std::move(workers);
    for (auto& [cell, controlled] : controlled_cells_) {
        controlled->controller->set_workers(workers_of(cell));
    }
}

void cell_service::note_instances_known()
{
    instances_known_ = true;
    update_worker_list_mode();
}

void cell_service::set_worker_list_time(monotonic_time read_started_at)
{
    for (auto& [cell, controlled] : controlled_cells_) {
        controlled->controller->set_worker_list_time(read_started_at);
    }
}

void cell_service::set_config_version(std::int64_t version)
{
    config_version_ = version;
    announce();
}

void cell_service::on_message(const peer_link& from, const Json::Value& message,
                              const instance_mesh::sender& reply)
{
    json_fields in(message);
    const auto kind = in.text("t");
    if (kind == "submit") {
        on_submit(from, message, reply);
    }
    else if (kind == "abandon") {
        const auto controlled = controlled_cells_.find(in.text("cell"));
        if (controlled != controlled_cells_.end()) {
            controlled->second->controller->abandon(in.text("id"), from);
        }
    }
    else if (kind == "find_job") {
        on_find_job(message, reply);
    }
    else if (kind == "job_found") {
        on_job_found(from.process.name, message);
    }
    else if (kind == "cancelled") {
        for (const auto& it : in.array("ids")) {
            apply_cancelled(text_of(it));
        }
    }
    else if (kind == "worker_lost") {
        apply_loss(decode_loss(in.value("loss")));
    }
    else if (kind == "outcome") {
        on_outcome({in.text("id"), from.process.name, in.text("cell"), in.count("submission")},
                   decode_outcome(in.value("outcome")));
    }
    else {
        on_other_message(from, message, reply);
    }
}

void cell_service::on_submit(const peer_link& requester, const Json::Value& message,
                             const instance_mesh::sender& reply)
{
    json_fields in(message);
    const auto cell = in.text("cell");
    auto request = decode_job(in.value("job"));
    const auto id = request.id;
    auto respond = [reply, id, cell, number = in.value("submission")](const job_outcome& outcome) {
        Json::Value out;
        out["t"] = "outcome";
        out["submission"] = number;
        out["id"] = id;
        out["cell"] = cell;
        out["outcome"] = encode_outcome(outcome);
        reply(out);
    };
    const auto controlled = controlled_cells_.find(cell);
    if (controlled == controlled_cells_.end()) {
        respond({job_end::moved, {}, "not in control"});
        return;
    }
    if (cancelled_.contains(id)) {
        log_request_event("submission_of_cancelled_job", "id={} requester={}", id,
                          requester.process.name);
        respond({job_end::failed, {}, "cancelled before"});
        return;
    }
    if (mesh_.is_replaced(requester)) {
        // Read late. If the clocks are wrong and this is the newer process, it submits again.
        log_request_event("submission_on_former_link", "id={} requester={} incarnation={} link={}",
                          id, requester.process.name, requester.process.incarnation,
                          requester.number);
        respond({job_end::moved, {}, "the process or its link has been replaced"});
        return;
    }
    const auto as_of = in.integer("as_of", any_clock, -1);
    if (as_of >= 0) {
        const auto age = std::chrono::milliseconds{mesh_.own_clock_ms() - as_of};
        if (age > max_submission_age) {
            log_request_event("submission_outdated", "id={} requester={} age_ms={}", id,
                              requester.process.name, age.count());
            respond({job_end::not_run, outdated_retry_after, "the submission arrived late"});
            return;
        }
    }
    if (const auto number = in.count("submission"); number > 1) {
        log_request_event("job_received_again",
                          "id={} requester={} incarnation={} link={} submission={} resumed={}", id,
                          requester.process.name, requester.process.incarnation, requester.number,
                          number, request.resumed);
    }
    controlled->second->requesters.insert(requester.process);
    controlled->second->controller->submit(std::move(request), requester, std::move(respond));
}

// Messages of a requester are lost only with a link. The jobs that it still wants come again on the
// next one; the others it has given up.
void cell_service::await_resubmissions(const peer_link& newest, int rounds)
{
    timers_.schedule(resubmission_round, [this, newest, rounds, alive = alive_] {
        if (!*alive) {
            return;
        }
        if (rounds > 1) {
            await_resubmissions(newest, rounds - 1);
            return;
        }
        for (const auto& [cell, controlled] : controlled_cells_) {
            controlled->controller->abandon_not_resubmitted(newest);
        }
    });
}

std::size_t cell_service::pending_jobs(std::string_view queue) const
{
    std::size_t n = 0;
    for (const auto& [cell, controlled] : controlled_cells_) {
        n += controlled->controller->pending_jobs(queue);
    }
    return n;
}

cell_counts cell_service::counts() const
{
    cell_counts sum;
    for (const auto& [cell, controlled] : controlled_cells_) {
        sum += controlled->controller->counts();
    }
    return sum;
}

} // namespace cactusloom
