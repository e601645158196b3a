// Jobs that callers ask for, or cancel, at an instance that does not have them.
#include "cell/mesh_codec.h"
#include "cell_service_internal.h"
#include "http/json_fields.h"

#include <algorithm>

namespace cactusloom {

namespace {

// A controller in contact replies within a round trip and an iteration of its event loop.
constexpr duration search_timeout = std::chrono::milliseconds{500};

} // namespace

bool cell_service::controls_open_job(std::string_view job_id) const
{
    return std::ranges::any_of(controlled_cells_, [job_id](const auto& it) {
        return it.second->controller->has_open_job(job_id);
    });
}

void cell_service::find_job(const std::string& job_id, bool cancels, search_handler fn)
{
    if (has_job(job_id) || (cancels && cancelled_.contains(job_id))) {
        fn(job_presence::open);
        return;
    }
    if (controls_open_job(job_id)) {
        if (cancels) {
            cancel_everywhere(job_id);
        }
        fn(job_presence::open);
        return;
    }
    const auto number = ++last_search_;
    job_search search{job_id, cancels, {}, std::move(fn)};
    bool all_sent = has_controller();
    Json::Value message;
    message["t"] = "find_job";
    message["search"] = Json::UInt64{number};
    message["id"] = job_id;
    message["cancel"] = cancels;
    for (const auto& it : mesh_.claim_holders()) {
        if (it.name == mesh_.self().name) {
            continue;
        }
        all_sent &= mesh_.send(it.name, message);
        search.awaited.insert(it.name);
    }
    if (search.awaited.empty() || !all_sent) {
        search.fn(all_sent ? job_presence::absent : job_presence::unknown);
        return;
    }
    searches_.emplace(number, std::move(search));
    timers_.schedule(search_timeout, [this, number, alive = alive_] {
        if (*alive) {
            end_search(number, job_presence::unknown);
        }
    });
}

void cell_service::end_search(std::uint64_t number, job_presence presence)
{
    const auto found = searches_.find(number);
    if (found == searches_.end()) {
        return;
    }
    const auto search = std::move(found->second);
    searches_.erase(found);
    if (presence == job_presence::unknown) {
        log_request_event("job_not_located", "id={} cancels={} awaited={}", search.job_id,
                          search.cancels, search.awaited.size());
    }
    if (presence == job_presence::open && search.cancels) {
        cancel_everywhere(search.job_id);
    }
    search.fn(presence);
}

// Answers an instance that looks for a job, and cancels the job there if its caller wants that.
void cell_service::on_find_job(const Json::Value& message, const instance_mesh::sender& reply)
{
    json_fields in(message);
    const auto id = in.text("id");
    const bool found = controls_open_job(id);
    if (found && in.flag("cancel")) {
        apply_cancelled(id);
    }
    Json::Value out;
    out["t"] = "job_found";
    out["search"] = in.value("search");
    out["found"] = found;
    reply(out);
}

void cell_service::on_job_found(const std::string& peer, const Json::Value& message)
{
    json_fields in(message);
    const auto number = in.number("search");
    const auto found = searches_.find(number);
    if (found == searches_.end()) {
        return;
    }
    found->second.awaited.erase(peer);
    if (in.flag("found")) {
        end_search(number, job_presence::open);
    }
    else if (found->second.awaited.empty()) {
        end_search(number, job_presence::absent);
    }
}

} // namespace cactusloom
