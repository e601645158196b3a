#include "platform_services.h"

#include "http/http_instance_list.h"
#include "http/http_log_service.h"
#include "http/http_worker_client.h"
#include "stand_in/memory_log.h"
#include "stand_in/worker_stand_in_client.h"

#include <fmt/format.h>

namespace cactusloom {
namespace {

class configured_services final : public platform_services {
public:
    configured_services(const daemon_settings& settings, timer_service& timers, bool http_workers)
        : timers_(timers), http_workers_(http_workers)
    {
        if (settings.log_address.empty()) {
            log_ = std::make_unique<memory_log>(timers);
        }
        else {
            log_ = std::make_unique<http_log_service>(timers, settings.log_address);
        }
        if (!settings.list_address.empty()) {
            list_ = std::make_unique<http_instance_list>(timers, settings.list_address);
        }
        if (http_workers) {
            remote_ = std::make_unique<http_worker_client>(timers, std::vector<worker_settings>{});
        }
        else {
            embedded_ =
                std::make_unique<worker_stand_in_client>(timers, worker_stand_in_client::workers{});
        }
    }

    log_service& log() override { return *log_; }
    instance_list* list() override { return list_.get(); }
    worker_client& workers() override
    {
        return http_workers_ ? static_cast<worker_client&>(*remote_) : *embedded_;
    }

    void apply(const deployment& settings) override
    {
        if (http_workers_) {
            remote_->set_workers(settings.workers);
            return;
        }
        worker_behaviour behaviour;
        for (const auto& it : settings.kinds) {
            behaviour.run_times[it.name] = it.declared_run_time;
        }
        auto targets = embedded_->targets();
        for (std::size_t n = 0; n < settings.workers.size(); ++n) {
            behaviour.slots = settings.workers[n].slots;
            if (n < targets.size()) {
                targets[n]->set_behaviour(behaviour);
            }
            else {
                targets.push_back(std::make_shared<worker_stand_in>(timers_, behaviour));
            }
        }
        embedded_->set_workers(std::move(targets));
    }

private:
    timer_service& timers_;
    bool http_workers_;
    std::unique_ptr<log_service> log_;
    std::unique_ptr<instance_list> list_;
    std::unique_ptr<http_worker_client> remote_;
    std::unique_ptr<worker_stand_in_client> embedded_;
};

} // namespace

result<std::unique_ptr<platform_services>> platform_services::make(const daemon_settings& settings,
                                                                   timer_service& timers)
{
    const auto& mode = settings.worker_mode;
    if (mode != "auto" && mode != "http" && mode != "embedded") {
        return failure(errc::invalid_argument,
                       fmt::format("--worker-mode must be auto, http or embedded, not '{}'", mode));
    }
    const bool http_workers = mode == "http" || (mode == "auto" && !settings.log_address.empty());
    return std::unique_ptr<platform_services>(
        std::make_unique<configured_services>(settings, timers, http_workers));
}

} // namespace cactusloom
