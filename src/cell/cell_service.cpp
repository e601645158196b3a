#include "cell/cell_service.h"

#include "base/hash.h"
#include "base/log.h"
#include "cell/mesh_codec.h"

#include <algorithm>
#include <set>

namespace cactusloom {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{50};
// A starting instance first hears who controls what; two beats and a connection are enough.
constexpr duration election_grace = std::chrono::milliseconds{700};
constexpr duration cut_end_pause = std::chrono::milliseconds{350};
constexpr duration fence_pause = std::chrono::milliseconds{200};
// One controller of the weakest deployed kind (a quarter of a core) carries about 60 workers at
// peak; a fleet beyond this size is divided by data centre.
constexpr std::size_t max_workers_of_whole_cell = 120;
constexpr std::size_t min_workers_of_split_cells = 80;
// Time without any controller after which new jobs are refused instead of kept.
constexpr duration controller_patience = std::chrono::seconds{1};
constexpr duration controller_retry_after = std::chrono::seconds{1};
// The controller ends jobs at their deadline; a front that hears nothing by then gives up.
constexpr duration outcome_slack = std::chrono::milliseconds{100};
// Tokens are wall-clock milliseconds in the upper bits, so that a claim needs no store: after all
// instances have died, later claims are still higher. The low bits tell instances apart.
constexpr std::uint64_t token_shift = 10;
// Raises a token beyond what a clock that had jumped ahead may have left at the workers.
constexpr std::uint64_t fence_step = std::uint64_t{6000} << token_shift;

} // namespace

// A caller's job from its submission here until its answer.
struct cell_service::desk_job {
    job_request request;
    answer fn;
    std::string controller; // empty: waits for one
    std::string cell;
    std::set<std::string> refused_by; // cells that had no room
    monotonic_time arrived;
    monotonic_time deadline;
    bool sent = false;          // a controller may have started tasks
    std::string sent_cell;      // the cell whose workers may run them
    worker_counts sent_workers; // and how many they were
    monotonic_time lost_at;     // when that controller went out of touch or out of control
    bool may_have_run = false;  // a lost controller may have started tasks

    void send_to(const std::string& name, const std::string& target)
    {
        controller = name;
        cell = target;
        sent = true;
        sent_cell = target;
    }

    void lose_controller(monotonic_time now, const char* reason)
    {
        log_event("job_lost_controller", "id={} controller={} cell={} reason=\"{}\" age_ms={}",
                  request.id, controller, cell, reason, (now - arrived).count() / 1000);
        controller.clear();
        lost_at = now;
        may_have_run = true;
    }
};

// A cell that this instance controls.
struct cell_service::own_cell {
    std::unique_ptr<cell_controller> controller;
    std::uint64_t token = 0;
    bool fenced = false;
    std::set<std::string> requesters;
};

cell_service::cell_service(timer_service& timers, instance_mesh& mesh, worker_orders& orders,
                           const cell_settings& settings)
    : on_claim([] {}),
      on_other_message([](const std::string&, const Json::Value&, const instance_mesh::sender&) {}),
      timers_(timers), mesh_(mesh), orders_(orders), settings_(settings),
      started_at_(timers.monotonic_now())
{
    mesh_.on_change = [this] { evaluate(); };
    mesh_.on_restart = [this](const std::string& peer) {
        for (auto& [id, job] : jobs_) {
            if (job->controller == peer) {
                job->lose_controller(timers_.monotonic_now(), "restarted");
            }
        }
    };
    mesh_.on_reconnect = [this](const std::string& peer) {
        for (auto& [id, job] : jobs_) {
            if (job->controller == peer) {
                // Its outcome may have been lost with the old link.
                job->lose_controller(timers_.monotonic_now(), "link replaced");
            }
        }
        redispatch();
    };
    mesh_.on_message = [this](const std::string& peer, const Json::Value& message,
                              const instance_mesh::sender& reply) {
        on_message(peer, message, reply);
    };
    tick_timer_ = timers_.schedule(tick_interval, [this] { tick(); });
}

void cell_service::tick()
{
    tick_timer_ = timers_.schedule(tick_interval, [this] { tick(); });
    evaluate();
    announce(); // the number of workers that obey changes after a claim
    check_requesters();
    check_jobs();
}

cell_service::~cell_service()
{
    *alive_ = false;
    timers_.cancel(tick_timer_);
}

void cell_service::set_workers(std::vector<worker_report> workers)
{
    workers_ = std::move(workers);
    for (auto& [cell, own] : own_cells_) {
        own->controller->set_workers(workers_of(cell));
    }
}

void cell_service::note_workers_read(monotonic_time asked_at)
{
    for (auto& [cell, own] : own_cells_) {
        own->controller->note_workers_read(asked_at);
    }
}

void cell_service::set_config_version(std::int64_t version)
{
    config_version_ = version;
    announce();
}

// Being on the smaller side of a cut holds at once. Its end holds once the other side has had the
// time to say what it controls.
bool cell_service::is_cut_off(const std::vector<instance_view>& views)
{
    const auto now = timers_.monotonic_now();
    if (now - started_at_ < election_grace) {
        return false; // the links to other data centres take longer than those at home
    }
    if (cell_election::is_minority(mesh_.self().name, views)) {
        cut_off_at_ = now;
        cut_off_ = true;
    }
    else if (cut_off_ && now - cut_off_at_ > cut_end_pause) {
        cut_off_ = false;
    }
    return cut_off_;
}

// True if an instance in touch claims workers of this cell too.
bool cell_service::is_contested(std::string_view cell) const
{
    for (const auto& view : mesh_.views()) {
        if (view.name == mesh_.self().name || !view.alive) {
            continue;
        }
        for (const auto& it : view.claims) {
            if (cell_election::covers(it.cell, cell) || cell_election::covers(cell, it.cell)) {
                return true;
            }
        }
    }
    return false;
}

std::vector<std::string> cell_service::cells(bool minority) const
{
    if (minority) {
        return {mesh_.self().data_centre};
    }
    if (!split_) {
        return {std::string(whole_cell)};
    }
    std::set<std::string> names;
    for (const auto& it : workers_) {
        names.insert(it.data_centre);
    }
    return {names.begin(), names.end()};
}

std::vector<worker_report> cell_service::workers_of(std::string_view cell) const
{
    std::vector<worker_report> out;
    std::ranges::copy_if(workers_, std::back_inserter(out), [&](const worker_report& it) {
        return cell == whole_cell || it.data_centre == cell;
    });
    return out;
}

void cell_service::evaluate()
{
    const auto now = timers_.monotonic_now();
    const bool settled =
        now - started_at_ >= election_grace || (instances_known_ && mesh_.hears_all());
    if (!leaving_ && settled && !workers_.empty()) {
        split_ =
            workers_.size() > (split_ ? min_workers_of_split_cells : max_workers_of_whole_cell);
        const auto views = mesh_.views();
        const auto names = cells(is_cut_off(views));
        for (const auto& cell : own_names()) {
            if (std::ranges::find(names, cell) == names.end()) {
                give_up(cell);
            }
        }
        for (const auto& cell : names) {
            evaluate_cell(cell, views);
        }
    }
    redispatch();
}

void cell_service::evaluate_cell(const std::string& cell, const std::vector<instance_view>& views)
{
    const auto& self = mesh_.self();
    const auto verdict = cell_election::decide(cell, self.name, views);
    const bool own = own_cells_.contains(cell);
    if (own && verdict.controller != self.name) {
        log_event("cell_yielded", "cell={} to={}", cell, verdict.controller);
        give_up(cell);
        return;
    }
    if (!own && verdict.should_claim) {
        claim(cell, verdict.highest_token);
    }
}

void cell_service::claim(const std::string& cell, std::uint64_t above)
{
    const auto wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(timers_.wall_now().time_since_epoch())
            .count();
    constexpr std::uint64_t low_bits = (std::uint64_t{1} << token_shift) - 1;
    auto token =
        (static_cast<std::uint64_t>(wall) << token_shift) | (hash64(mesh_.self().name) & low_bits);
    token = std::max(token, above + 1 + (hash64(mesh_.self().name) & low_bits));
    auto& own = own_cells_[cell];
    if (!own) {
        own = std::make_unique<own_cell>();
        own->controller = std::make_unique<cell_controller>(timers_, orders_, settings_);
        own->controller->on_fenced = [this, cell] { on_fenced(cell); };
        own->controller->set_workers(workers_of(cell));
    }
    own->token = token;
    own->controller->claim(token);
    announce();
    on_claim();
}

// A worker obeys someone else. If that one is in touch, the election settles it; if not, the
// higher token is a leftover or belongs to the smaller side of a cut.
void cell_service::on_fenced(const std::string& cell)
{
    const auto found = own_cells_.find(cell);
    if (found == own_cells_.end() || std::exchange(found->second->fenced, true)) {
        return;
    }
    timers_.schedule(fence_pause, [this, cell, alive = alive_] {
        if (!*alive) {
            return;
        }
        evaluate();
        const auto it = own_cells_.find(cell);
        if (it == own_cells_.end()) {
            return;
        }
        it->second->fenced = false;
        if (is_contested(cell)) {
            return; // one of the two gives way soon; the next look tells
        }
        log_event("token_raised", "cell={} from={}", cell, it->second->token);
        const auto seen = cell_election::decide(cell, mesh_.self().name, mesh_.views());
        claim(cell, std::max(it->second->token + fence_step, seen.highest_token));
    });
}

void cell_service::give_up(const std::string& cell)
{
    const auto it = own_cells_.find(cell);
    if (it == own_cells_.end()) {
        return;
    }
    const auto own = std::shared_ptr<own_cell>(std::move(it->second));
    own_cells_.erase(it);
    announce();
    own->controller->release();
    // Deferred: the controller may be on the call stack.
    timers_.schedule(duration::zero(), [own] {});
}

void cell_service::announce()
{
    std::vector<cell_claim> claims;
    for (const auto& [cell, own] : own_cells_) {
        claims.push_back({cell, own->token, own->controller->held_workers()});
    }
    mesh_.announce(std::move(claims), leaving_, config_version_);
}

void cell_service::leave()
{
    leaving_ = true;
    for (const auto& cell : own_names()) {
        give_up(cell);
    }
    announce();
}

// A copy, for loops that give cells up.
std::vector<std::string> cell_service::own_names() const
{
    std::vector<std::string> names;
    for (const auto& [cell, own] : own_cells_) {
        names.push_back(cell);
    }
    return names;
}

bool cell_service::controls_any() const
{
    return !own_cells_.empty();
}

bool cell_service::has_controller() const
{
    const auto views = mesh_.views();
    return std::ranges::any_of(views,
                               [](const auto& it) { return it.alive && !it.claims.empty(); });
}

// Stops the jobs of instances that are out of touch. Their fronts wait longer than this before
// they let the callers' tasks start elsewhere.
void cell_service::check_requesters()
{
    for (auto& row : own_cells_) {
        auto& own = *row.second;
        std::erase_if(own.requesters, [&](const std::string& requester) {
            if (mesh_.hears(requester)) {
                return false;
            }
            log_event("requester_lost", "instance={} cell={}", requester, row.first);
            own.controller->abandon_all_of(requester);
            return true;
        });
    }
}

void cell_service::submit(job_request request, answer fn)
{
    const auto now = timers_.monotonic_now();
    auto& job = jobs_[request.id];
    if (job) {
        // The caller has sent the job again while it is under way: the newer connection counts.
        job->fn({job_end::unknown, {}, "submitted again"});
        job->fn = std::move(fn);
        job->deadline = std::max(job->deadline, now + request.time_left);
        return;
    }
    job = std::make_unique<desk_job>();
    job->fn = std::move(fn);
    job->arrived = now;
    job->deadline = now + request.time_left;
    job->request = std::move(request);
    dispatch(*job, mesh_.views());
}

void cell_service::abandon(const std::string& job_id)
{
    const auto it = jobs_.find(job_id);
    if (it == jobs_.end()) {
        return;
    }
    const auto controller = it->second->controller;
    const auto cell = it->second->cell;
    jobs_.erase(it);
    if (controller == mesh_.self().name) {
        if (const auto own = own_cells_.find(cell); own != own_cells_.end()) {
            own->second->controller->abandon(job_id);
        }
    }
    else if (!controller.empty()) {
        Json::Value message;
        message["t"] = "abandon";
        message["id"] = job_id;
        message["cell"] = cell;
        if (!mesh_.send(controller, message)) {
            log_event("abandon_unsent", "id={} controller={}", job_id, controller);
        }
    }
}

bool cell_service::cancel(const std::string& job_id)
{
    const auto it = jobs_.find(job_id);
    if (it == jobs_.end()) {
        return false;
    }
    const auto fn = it->second->fn;
    abandon(job_id);
    fn({job_end::failed, {}, "cancelled"});
    return true;
}

void cell_service::dispatch(desk_job& job, const std::vector<instance_view>& views)
{
    const auto& self = mesh_.self();
    const auto now = timers_.monotonic_now();
    // Only a controller of the same workers can find the tasks that run. After the quarantine
    // none of them does any more, and any controller may start anew.
    const bool bound = job.sent && now - job.lost_at < lost_job_quarantine;
    const instance_view* target = nullptr;
    std::string target_cell;
    std::uint64_t target_token = 0;
    bool target_home = false;
    for (const auto& view : views) {
        if (!view.alive || view.leaving) {
            continue;
        }
        for (const auto& it : view.claims) {
            const bool home = it.cell == self.data_centre;
            if (job.refused_by.contains(it.cell) ||
                (bound && !cell_election::covers(it.cell, job.sent_cell))) {
                continue;
            }
            const bool better =
                target == nullptr || (home && !target_home) ||
                (home == target_home && it.cell == target_cell && it.token > target_token);
            if (better) {
                target = &view;
                target_cell = it.cell;
                target_token = it.token;
                target_home = home;
            }
        }
    }
    if (target == nullptr) {
        return;
    }
    job.request.resumed = bound;
    job.request.former_workers = job.sent_workers;
    if (job.may_have_run) {
        log_event("job_sent_again", "id={} controller={} cell={} resumed={} time_left_ms={}",
                  job.request.id, target->name, target_cell, bound,
                  (job.deadline - now).count() / 1000);
    }
    job.request.age = now - job.arrived;
    job.request.time_left = job.deadline - now;
    const auto id = job.request.id;
    if (target->name == self.name) {
        const auto own = own_cells_.find(target_cell);
        if (own == own_cells_.end()) {
            return;
        }
        job.send_to(target->name, target_cell);
        own->second->controller->submit(
            job.request, self.name,
            [this, alive = alive_, id, cell = target_cell](const job_outcome& outcome) {
                if (*alive) {
                    on_outcome(id, mesh_.self().name, cell, outcome);
                }
            });
        return;
    }
    Json::Value message;
    message["t"] = "submit";
    message["cell"] = target_cell;
    message["job"] = encode_job(job.request);
    if (mesh_.send(target->name, message)) {
        job.send_to(target->name, target_cell);
    }
}

void cell_service::redispatch()
{
    if (jobs_.empty()) {
        return;
    }
    const auto views = mesh_.views();
    std::map<std::pair<std::string, std::string>, const worker_counts*> holders;
    for (const auto& view : views) {
        for (const auto& it : view.claims) {
            if (view.alive && !view.leaving) {
                holders[{view.name, it.cell}] = &it.workers;
            }
        }
    }
    std::vector<std::string> waiting;
    for (auto& [id, job] : jobs_) {
        if (!job->controller.empty()) {
            const auto holder = holders.find({job->controller, job->cell});
            if (holder == holders.end()) {
                job->lose_controller(timers_.monotonic_now(), "not in control or out of touch");
            }
            else {
                raise_to(job->sent_workers, *holder->second);
            }
        }
        if (job->controller.empty()) {
            waiting.push_back(id);
        }
    }
    for (const auto& id : waiting) {
        if (const auto it = jobs_.find(id); it != jobs_.end()) {
            dispatch(*it->second, views);
        }
    }
}

void cell_service::on_outcome(const std::string& job_id, const std::string& controller,
                              const std::string& cell, const job_outcome& outcome)
{
    const auto it = jobs_.find(job_id);
    if (it == jobs_.end() || it->second->controller != controller || it->second->cell != cell) {
        return; // an answer to an earlier submission
    }
    auto& job = *it->second;
    if (outcome.end == job_end::moved) {
        job.lose_controller(timers_.monotonic_now(),
                            "moved"); // the next evaluation finds the new one
        return;
    }
    if (outcome.end == job_end::not_run && job.may_have_run) {
        finish(job_id, {job_end::unknown, {}, "an earlier controller may have run it"});
        return;
    }
    if (outcome.end == job_end::not_run) {
        job.refused_by.insert(cell);
        job.controller.clear();
        job.sent = false;             // it has certainly not run there
        dispatch(job, mesh_.views()); // may end the job at once
        const auto left = jobs_.find(job_id);
        if (left != jobs_.end() && left->second->controller.empty()) {
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
    const auto job = std::move(it->second);
    jobs_.erase(it);
    job->fn(outcome);
}

void cell_service::check_jobs()
{
    const auto now = timers_.monotonic_now();
    std::vector<std::pair<std::string, job_outcome>> over;
    for (const auto& [id, job] : jobs_) {
        if (!job->sent && now - job->arrived > controller_patience) {
            over.emplace_back(
                id, job_outcome{job_end::not_run, controller_retry_after, "no controller"});
        }
        else if (now > job->deadline + outcome_slack) {
            over.emplace_back(id, job->sent ? job_outcome{job_end::unknown, {}, "no outcome"}
                                            : job_outcome{job_end::not_run, controller_retry_after,
                                                          "no controller"});
        }
    }
    for (const auto& [id, outcome] : over) {
        log_event("job_given_up", "id={} end={} reason=\"{}\"", id, to_string(outcome.end),
                  outcome.reason);
        finish(id, outcome);
    }
}

void cell_service::on_message(const std::string& peer, const Json::Value& message,
                              const instance_mesh::sender& reply)
{
    const auto kind = message["t"].asString();
    if (kind == "submit") {
        on_submit(peer, message, reply);
    }
    else if (kind == "abandon") {
        const auto own = own_cells_.find(message["cell"].asString());
        if (own != own_cells_.end()) {
            own->second->controller->abandon(message["id"].asString());
        }
    }
    else if (kind == "outcome") {
        on_outcome(message["id"].asString(), peer, message["cell"].asString(),
                   decode_outcome(message["outcome"]));
    }
    else {
        on_other_message(peer, message, reply);
    }
}

void cell_service::on_submit(const std::string& peer, const Json::Value& message,
                             const instance_mesh::sender& reply)
{
    const auto cell = message["cell"].asString();
    auto request = decode_job(message["job"]);
    const auto id = request.id;
    auto respond = [reply, id, cell](const job_outcome& outcome) {
        Json::Value out;
        out["t"] = "outcome";
        out["id"] = id;
        out["cell"] = cell;
        out["outcome"] = encode_outcome(outcome);
        reply(out);
    };
    const auto own = own_cells_.find(cell);
    if (own == own_cells_.end()) {
        respond({job_end::moved, {}, "not in control"});
        return;
    }
    own->second->requesters.insert(peer);
    own->second->controller->submit(std::move(request), peer, std::move(respond));
}

std::size_t cell_service::pending_jobs(std::string_view queue) const
{
    std::size_t n = 0;
    for (const auto& [cell, own] : own_cells_) {
        n += own->controller->pending_jobs(queue);
    }
    return n;
}

cell_counts cell_service::counts() const
{
    cell_counts sum;
    for (const auto& [cell, own] : own_cells_) {
        const auto& it = own->controller->counts();
        sum.jobs_completed += it.jobs_completed;
        sum.jobs_failed += it.jobs_failed;
        sum.jobs_not_run += it.jobs_not_run;
        sum.jobs_unknown += it.jobs_unknown;
        sum.starts += it.starts;
        sum.starts_without_reply += it.starts_without_reply;
        sum.looks += it.looks;
        sum.stops += it.stops;
        sum.task_failures += it.task_failures;
        sum.stragglers_moved += it.stragglers_moved;
        sum.workers_lost += it.workers_lost;
        sum.orphans_adopted += it.orphans_adopted;
        sum.orphans_stopped += it.orphans_stopped;
    }
    return sum;
}

} // namespace cactusloom
