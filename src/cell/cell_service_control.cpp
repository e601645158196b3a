// Claims, takeovers and handovers of the cells that this instance controls.
#include "base/hash.h"
#include "cell/mesh_codec.h"
#include "cell_service_internal.h"
#include "claim_token.h"

#include <algorithm>

namespace cactusloom {

namespace {

// Allows for a connection setup and two heartbeats, after which the claims of the peers are known.
constexpr duration election_grace = std::chrono::milliseconds{700};
constexpr duration fence_reaction_delay = std::chrono::milliseconds{200};
// After a change of control every open job is sent again, which overloads the next holder for a
// while.
constexpr duration min_time_between_reliefs = std::chrono::seconds{5};
// A controller of the weakest deployed kind (a quarter of a core) handles about 60 workers at peak;
// a fleet with more workers than this limit is split into one cell per data centre.
constexpr std::size_t max_workers_of_single_cell = 120;
constexpr std::size_t min_workers_of_split_cells = 80;
// More than one, so that a worker that is down or replaced does not decide the result.
constexpr std::size_t probed_worker_count = 3;

const char* to_string(claim_probe::probe_result result)
{
    switch (result) {
    case claim_probe::probe_result::unclaimed:
        return "nobody";
    case claim_probe::probe_result::claimed_elsewhere:
        return "somebody";
    case claim_probe::probe_result::no_reply:
        return "no_reply";
    }
    return "";
}

const char* to_string(worker_list_mode list_mode)
{
    switch (list_mode) {
    case worker_list_mode::none:
        return "none";
    case worker_list_mode::standby:
        return "standby";
    case worker_list_mode::control:
        return "control";
    }
    return "";
}

} // namespace

// True if an instance in contact also claims workers of this cell.
bool cell_service::is_contested(std::string_view cell) const
{
    for (const auto& view : mesh_.claim_holders()) {
        if (view.name == mesh_.self().name) {
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

std::vector<std::string>
cell_service::cells_to_control(isolation_tracker::phase partition_phase) const
{
    if (partition_phase != isolation_tracker::phase::connected) {
        return {mesh_.self().data_centre};
    }
    if (!split_by_data_centre_) {
        return {std::string(all_workers_cell)};
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
        return cell == all_workers_cell || it.data_centre == cell;
    });
    return out;
}

void cell_service::evaluate()
{
    update_worker_list_mode();
    const auto now = timers_.monotonic_now();
    // Links to other data centres take longer to open than those within this one.
    const bool links_settled = now - started_at_ >= election_grace;
    const auto linked_views = mesh_.linked_views();
    const bool is_isolated =
        links_settled && cell_election::is_isolated_data_centre(mesh_.self().name, linked_views) &&
        cell_election::reaches_own_data_centre(mesh_.self().name, linked_views);
    minority_.update(links_settled &&
                         cell_election::is_in_minority(mesh_.self().name, linked_views),
                     is_isolated, now);
    if (!minority_.in_minority()) {
        probes_.clear();
    }
    if (!leaving_ && mesh_.is_candidate() && is_ready_to_claim() && !workers_.empty()) {
        split_by_data_centre_ =
            workers_.size() >
            (split_by_data_centre_ ? min_workers_of_split_cells : max_workers_of_single_cell);
        const auto views = mesh_.views();
        const auto names = cells_to_control(isolation_.update(is_isolated, now));
        for (const auto& cell : controlled_cell_names()) {
            if (std::ranges::find(names, cell) == names.end()) {
                release_cell(cell);
            }
        }
        for (const auto& cell : names) {
            evaluate_cell(cell, views);
        }
    }
    redispatch();
}

// Instances that cannot become controller do not read the list of workers; together they would read
// more than the platform's store can deliver.
void cell_service::update_worker_list_mode()
{
    auto list_mode = worker_list_mode::none;
    if (!controlled_cells_.empty()) {
        list_mode = worker_list_mode::control;
    }
    else if (instances_known_ && !leaving_ && mesh_.is_candidate()) {
        list_mode = worker_list_mode::standby;
    }
    if (std::exchange(worker_list_mode_, list_mode) != list_mode) {
        log_event("worker_interest", "level={}", to_string(list_mode));
        on_worker_list_mode(list_mode);
    }
}

// A starting instance first learns the existing claims. It may claim before the grace period ends
// once the state of all candidates is known and either no instance in contact controls a cell or
// all of them have just started; otherwise an unreachable instance may control the remaining cells.
bool cell_service::is_ready_to_claim() const
{
    return timers_.monotonic_now() - started_at_ >= election_grace ||
           (instances_known_ && mesh_.knows_state_of_all() &&
            (!has_controller() || mesh_.is_cold_start()));
}

void cell_service::evaluate_cell(const std::string& cell, const std::vector<instance_view>& views)
{
    const auto& self = mesh_.self();
    const auto decision = cell_election::decide(cell, self.name, views);
    const bool controlled = controlled_cells_.contains(cell);
    if (controlled && decision.controller != self.name) {
        log_event("cell_yielded", "cell={} to={}", cell, decision.controller);
        release_cell(cell);
        return;
    }
    if (controlled || !decision.should_claim ||
        isolation_.current_phase() == isolation_tracker::phase::rejoining ||
        minority_.is_fenced() || minority_.is_rejoining(timers_.monotonic_now())) {
        return;
    }
    if (minority_.in_minority() &&
        isolation_.current_phase() != isolation_tracker::phase::isolated) {
        probe(cell, decision.highest_token);
    }
    else {
        claim(cell, decision.highest_token);
    }
}

// Claims the cell if a probe shows that no unreachable instance controls its workers.
void cell_service::probe(const std::string& cell, std::uint64_t above)
{
    auto& running_probe = probes_[cell];
    if (running_probe) {
        return;
    }
    auto workers = workers_of(cell);
    std::erase_if(workers, [](const auto& it) { return it.draining; });
    std::vector<worker_report> sample;
    for (std::size_t i = 0; i < probed_worker_count && i < workers.size(); ++i) {
        sample.push_back(workers[i * workers.size() / probed_worker_count]);
    }
    log_event("cell_probed", "cell={} workers={}", cell, sample.size());
    running_probe = std::make_unique<claim_probe>(
        timers_, commands_, std::move(sample), next_token(above),
        [this, cell](claim_probe::probe_result result, std::uint64_t token) {
            const auto done = std::move(probes_[cell]);
            probes_.erase(cell);
            log_event("cell_probe_ended", "cell={} found={}", cell, to_string(result));
            if (result == claim_probe::probe_result::claimed_elsewhere) {
                minority_.note_fenced();
            }
            else if (result == claim_probe::probe_result::unclaimed && !leaving_ &&
                     cell_election::decide(cell, mesh_.self().name, mesh_.views()).should_claim) {
                claim(cell, token);
            }
        });
}

std::uint64_t cell_service::next_token(std::uint64_t above) const
{
    const auto wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(timers_.wall_now().time_since_epoch())
            .count();
    constexpr std::uint64_t low_bit_mask = (std::uint64_t{1} << token_time_shift) - 1;
    const auto instance_bits = hash64(mesh_.self().name) & low_bit_mask;
    return std::max((static_cast<std::uint64_t>(wall) << token_time_shift) | instance_bits,
                    above + 1 + instance_bits);
}

// If so, the cell may come from an instance that yielded it. When this one becomes overloaded as
// well, the load is the cause and not the machine.
bool cell_service::is_any_peer_overloaded() const
{
    return std::ranges::any_of(mesh_.linked_views(), [this](const auto& it) {
        return it.name != mesh_.self().name && it.alive && it.overloaded;
    });
}

void cell_service::claim(const std::string& cell, std::uint64_t above)
{
    const auto token = next_token(above);
    auto& controlled = controlled_cells_[cell];
    if (!controlled) {
        controlled = std::make_unique<controlled_cell>();
        controlled->controller =
            std::make_unique<cell_controller>(timers_, commands_, settings_, losses_, history_);
        controlled->controller->on_fenced = [this, cell] { on_fenced(cell); };
        controlled->controller->on_used_workers_changed = [this] { announce(); };
        controlled->controller->on_worker_loss = [this](const worker_loss& it) {
            announce_loss(it);
        };
        controlled->controller->set_workers(workers_of(cell));
    }
    controlled->token = token;
    controlled->controller->claim(token);
    if (is_any_peer_overloaded()) {
        mesh_.keep_cells_until(timers_.monotonic_now() + min_time_between_reliefs);
    }
    announce();
    update_worker_list_mode();
    on_claim();
}

// Tells all instances that may control workers after this one. A message that is lost costs one
// more worker.
void cell_service::announce_loss(const worker_loss& loss)
{
    Json::Value message;
    message["t"] = "worker_lost";
    message["loss"] = encode_loss(loss);
    for (const auto& it : mesh_.linked_views()) {
        if (it.name != mesh_.self().name && it.alive && !mesh_.send(it.name, message)) {
            log_request_event("loss_unsent", "task={} instance={}", loss.task, it.name);
        }
    }
}

void cell_service::apply_loss(const worker_loss& loss)
{
    if (!losses_->add(loss)) {
        return;
    }
    for (const auto& [cell, controlled] : controlled_cells_) {
        controlled->controller->apply_loss(loss);
    }
}

// A worker has accepted a higher token. If the holder is in contact, the election resolves the
// conflict; if not, the token is left over from an earlier controller or belongs to the minority
// side of a partition.
void cell_service::on_fenced(const std::string& cell)
{
    const auto found = controlled_cells_.find(cell);
    if (found == controlled_cells_.end() || std::exchange(found->second->fenced, true)) {
        return;
    }
    timers_.schedule(fence_reaction_delay, [this, cell, alive = alive_] {
        if (!*alive) {
            return;
        }
        evaluate();
        const auto it = controlled_cells_.find(cell);
        if (it == controlled_cells_.end()) {
            return;
        }
        it->second->fenced = false;
        if (is_contested(cell)) {
            return; // one of the two releases the cell soon; the next poll shows the result
        }
        if (minority_.in_minority()) {
            log_event("cell_yielded", "cell={} to=\"somebody out of touch\"", cell);
            minority_.note_fenced();
            release_cell(cell);
            return;
        }
        log_event("token_raised", "cell={} from={}", cell, it->second->token);
        const auto decision = cell_election::decide(cell, mesh_.self().name, mesh_.views());
        claim(cell, std::max(it->second->token + token_raise_step, decision.highest_token));
    });
}

void cell_service::release_cell(const std::string& cell)
{
    const auto it = controlled_cells_.find(cell);
    if (it == controlled_cells_.end()) {
        return;
    }
    const auto controlled = std::shared_ptr<controlled_cell>(std::move(it->second));
    controlled_cells_.erase(it);
    announce();
    controlled->controller->release();
    update_worker_list_mode();
    // Deferred because the controller may be on the call stack.
    timers_.schedule(duration::zero(), [controlled] {});
}

void cell_service::announce()
{
    std::vector<cell_claim> claims;
    for (const auto& [cell, controlled] : controlled_cells_) {
        claims.push_back({cell, controlled->token, controlled->controller->used_workers()});
    }
    mesh_.announce(std::move(claims), leaving_, config_version_);
}

void cell_service::leave()
{
    leaving_ = true;
    for (const auto& cell : controlled_cell_names()) {
        release_cell(cell);
    }
    announce();
}

// A copy, for loops that release cells.
std::vector<std::string> cell_service::controlled_cell_names() const
{
    std::vector<std::string> names;
    for (const auto& [cell, controlled] : controlled_cells_) {
        names.push_back(cell);
    }
    return names;
}

bool cell_service::controls_any() const
{
    return !controlled_cells_.empty();
}

bool cell_service::has_controller() const
{
    return !mesh_.claim_holders().empty();
}

// Stops the jobs of requesting processes that are out of contact or have been replaced. A process
// that is only out of contact waits longer than this (lost_job_quarantine) before it lets the tasks
// of its jobs start elsewhere; the callers of one that is gone send their jobs again elsewhere.
void cell_service::drop_lost_requesters()
{
    for (auto& row : controlled_cells_) {
        auto& controlled = *row.second;
        std::erase_if(controlled.requesters, [&](const instance_process& requester) {
            const bool replaced = mesh_.is_replaced(requester);
            if (!replaced && mesh_.has_heard_from(requester)) {
                return false;
            }
            log_event("requester_lost", "instance={} incarnation={} cell={} replaced={}",
                      requester.name, requester.incarnation, row.first, replaced);
            controlled.controller->abandon_all_of(requester);
            return true;
        });
    }
}

} // namespace cactusloom
