#include "daemon/instance.h"

#include "config/deployment.h"
#include "direct_job_service.h"
#include "http/caller_api.h"
#include "http/http_server.h"
#include "stand_in/worker_stand_in_client.h"

namespace cactusloom {

struct instance::parts {
    deployment settings;
    std::unique_ptr<worker_client> workers;
    std::unique_ptr<job_service> jobs;
    std::unique_ptr<caller_api> api;
    std::unique_ptr<http_server> server;
};

instance::instance(std::unique_ptr<parts> parts) : parts_(std::move(parts)) {}

instance::~instance() = default;

result<std::unique_ptr<instance>> instance::start(const daemon_settings& settings,
                                                  timer_service& timers)
{
    auto graph = std::make_unique<parts>();
    auto* raw = graph.get();
    raw->settings.kinds.push_back(
        {"stamp_check", false, false, std::chrono::milliseconds{50}, std::chrono::seconds{2}, {}});
    raw->settings.workers.resize(4);
    worker_stand_in_client::workers targets;
    for (std::size_t n = 0; n < raw->settings.workers.size(); ++n) {
        targets.push_back(std::make_shared<worker_stand_in>(timers, worker_behaviour{}));
    }
    raw->workers = std::make_unique<worker_stand_in_client>(timers, std::move(targets));
    raw->jobs = std::make_unique<direct_job_service>(timers, *raw->workers, raw->settings);
    caller_api_parts api;
    api.timers = &timers;
    api.jobs = raw->jobs.get();
    api.settings = [raw] { return &raw->settings; };
    raw->api = std::make_unique<caller_api>(std::move(api));
    http_server_limits limits;
    limits.max_connections = static_cast<std::size_t>(settings.max_connections);
    auto server = http_server::listen(settings.listen, timers, limits,
                                      [raw](const auto& exchange) { raw->api->serve(exchange); });
    if (!server) {
        return server.error();
    }
    raw->server = std::move(server).value();
    return std::unique_ptr<instance>(new instance(std::move(graph)));
}

std::string instance::address() const
{
    return parts_->server->address();
}

void instance::shut_down(std::function<void()> stopped)
{
    parts_->jobs->shut_down(std::move(stopped));
}

} // namespace cactusloom
