#include "entry/entry_instance.h"

#include "account/account_writer.h"
#include "base/log.h"
#include "config/stable_positions.h"
#include "entry/account_recorder.h"
#include "platform/instance_list.h"
#include "routing/router.h"

#include <algorithm>

namespace cactusloom {
namespace {

// Text that peers compare with their own to detect a different configuration version.
std::string make_summary(log_offset version)
{
    return std::to_string(version);
}

account_writer_settings make_account_settings(const entry_options& options)
{
    account_writer_settings settings;
    settings.instance = options.self.name;
    settings.incarnation = options.self.incarnation;
    return settings;
}

} // namespace

entry_instance::entry_instance(entry_options options, const entry_dependencies& dependencies)
    : options_(std::move(options)), dependencies_(dependencies),
      follower_(dependencies.log, dependencies.timers, dependencies.config_peers, options_.config),
      detector_(dependencies.timers, dependencies.peers, options_.self,
                static_cast<std::uint32_t>(options_.seed), options_.detector),
      alive_(std::make_shared<entry_instance*>(this))
{
    if (options_.keep_accounts) {
        accounts_ = std::make_unique<account_writer>(dependencies.log, dependencies.timers,
                                                     make_account_settings(options_));
        recorder_ = std::make_unique<account_recorder>(*accounts_);
    }
}

entry_instance::~entry_instance()
{
    dependencies_.timers.cancel(list_timer_);
}

void entry_instance::start()
{
    follower_.subscribe([this](const config_in_force& document) { apply(document); });
    detector_.on_change([this](const member_change& /*change*/) { members_changed(); });
    detector_.on_reachability_change([this](std::string_view data_centre, bool reachable) {
        data_centre_changed(data_centre, reachable);
    });
    detector_.set_seed_peers(options_.seeds);
    detector_.start();
    follower_.start();
    if (accounts_) {
        accounts_->start();
    }
    poll_instance_list();
}

bool entry_instance::is_ready() const
{
    return jobs_ != nullptr && !shutting_down_ && !detector_.is_superseded();
}

submission_location entry_instance::locate(std::string_view id) const
{
    return locate_submission(id, detector_.members(), options_.checksum_key);
}

void entry_instance::apply(const config_in_force& document)
{
    const auto merged =
        settings_ ? with_stable_positions(*settings_, *document.settings) : *document.settings;
    settings_ = std::make_shared<const deployment>(merged);
    detector_.set_summary(make_summary(document.version));
    if (recorder_) {
        recorder_->apply(settings_, document.version);
    }
    for (const settings_callback& fn : settings_callbacks_) {
        fn(*settings_);
    }
    if (!jobs_) {
        create_dispatcher(*settings_);
    }
    else {
        router_->apply(*settings_);
        jobs_->apply(*settings_);
    }
    members_changed();
    log_event("configuration_in_force", "version={} workers={} kinds={}", document.version,
              settings_->workers.size(), settings_->kinds.size());
}

void entry_instance::create_dispatcher(const deployment& settings)
{
    const double share = detector_.members().capacity_share();
    router_ = router::make(settings, dependencies_.timers,
                           {.seed = options_.seed,
                            .share = share,
                            .share_begin = detector_.members().capacity_begin()});
    if (!router_) {
        log_event("routing_strategy_unknown", "name={}", settings.profile.routing);
        return;
    }
    dispatcher_options options;
    options.instance = options_.self.name;
    options.data_centre = options_.self.data_centre;
    options.incarnation = options_.self.incarnation;
    options.checksum_key = options_.checksum_key;
    options.seed = options_.seed;
    options.share = share;
    jobs_ =
        std::make_unique<dispatcher>(settings, options,
                                     dispatcher::dependencies{.workers = dependencies_.workers,
                                                              .task_router = *router_,
                                                              .timers = dependencies_.timers,
                                                              .observer = recorder_.get(),
                                                              .metrics = dependencies_.metrics});
}

void entry_instance::members_changed()
{
    const member_table& members = detector_.members();
    follower_.set_rank(members.rank());
    if (accounts_) {
        accounts_->set_instances(members.live_count());
    }
    if (jobs_) {
        router_->set_share_range(members.capacity_begin(), members.capacity_share());
        jobs_->set_share(members.capacity_share());
    }
}

void entry_instance::data_centre_changed(std::string_view data_centre, bool reachable)
{
    members_changed();
    if (!router_) {
        return;
    }
    // Instances and workers of a data centre share its links, so its workers are treated as
    // leaving, instead of losing tasks until each of them is found unreachable.
    for (std::size_t n = 0; n < settings_->workers.size(); ++n) {
        if (settings_->workers[n].data_centre == data_centre) {
            router_->set_leaving(static_cast<worker_id>(n), !reachable);
        }
    }
    log_event("data_centre_reachable", "data_centre={} reachable={}", data_centre, reachable);
}

void entry_instance::poll_instance_list()
{
    if (dependencies_.list == nullptr) {
        return;
    }
    dependencies_.list->fetch([alive = std::weak_ptr<entry_instance*>(alive_)](
                                  const result<std::vector<listed_instance>>& reply) {
        const auto self = alive.lock();
        if (!self || !reply) {
            return; // keep the seed peers of the last successful fetch
        }
        std::vector<seed_peer> hints;
        for (const listed_instance& it : reply.value()) {
            hints.push_back({it.name, it.data_centre, it.address, it.leaving});
        }
        (*self)->detector_.set_seed_peers(std::move(hints));
    });
    list_timer_ =
        dependencies_.timers.schedule(options_.list_interval, [this] { poll_instance_list(); });
}

void entry_instance::shut_down(std::function<void()> stopped)
{
    if (shutting_down_) {
        return;
    }
    shutting_down_ = true;
    detector_.announce_leaving();
    auto close_accounts = [this, stopped = std::move(stopped)] {
        if (!accounts_) {
            leave_group(stopped);
            return;
        }
        accounts_->close(options_.account_close_limit, [this, stopped](const result<void>& closed) {
            if (!closed) {
                log_event("account_not_closed", "error={}", to_string(closed.error().code));
            }
            leave_group(stopped);
        });
    };
    if (jobs_) {
        jobs_->shut_down(std::move(close_accounts));
    }
    else {
        close_accounts();
    }
}

void entry_instance::leave_group(const std::function<void()>& stopped)
{
    detector_.leave(stopped);
}

} // namespace cactusloom
