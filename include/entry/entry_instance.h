#pragma once

#include "config/config_follower.h"
#include "dispatch/dispatcher.h"
#include "entry/submission_locator.h"
#include "membership/failure_detector.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace cactusloom {

class account_writer;
class config_peer_source;
class counters;
class instance_list;
class log_service;
class peer_transport;
class timer_service;
class worker_client;

struct entry_options {
    member self; // name, data centre, address, incarnation and capacity weight
    std::uint64_t checksum_key = 0;
    std::uint64_t seed = 0;
    config_follower_options config;
    failure_detector_settings detector;
    std::vector<seed_peer> seeds; // used until the platform's instance list has replied
    bool keep_accounts = true;
    duration list_interval = std::chrono::seconds{5};
    duration account_close_limit = std::chrono::seconds{10};
};

// All must outlive the entry instance; `list`, `config_peers` and `metrics` may be null.
struct entry_dependencies {
    timer_service& timers;
    log_service& log;
    worker_client& workers;
    peer_transport& peers;
    instance_list* list = nullptr;
    config_peer_source* config_peers = nullptr;
    counters* metrics = nullptr;
};

// An entry instance: accepts submissions and dispatches their tasks. It owns the modules and passes
// on events that concern several of them: a new configuration, a membership change, a shutdown.
class entry_instance {
public:
    using settings_callback = std::function<void(const deployment&)>;

    entry_instance(entry_options options, const entry_dependencies& dependencies);
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    void start();

    // True while the instance accepts submissions: it has a configuration, is not shutting down,
    // and no later incarnation with its name was seen.
    bool is_ready() const;

    // Returns the dispatcher, or null until the first configuration was applied.
    dispatcher* jobs() const { return jobs_.get(); }

    // Returns the current settings with stable positions, or null until there are any.
    const deployment* settings() const { return settings_.get(); }

    // Registers `fn` to be called before the modules get a new configuration, so that the worker
    // client knows the address of every worker first.
    void on_settings(settings_callback fn) { settings_callbacks_.push_back(std::move(fn)); }

    submission_location locate(std::string_view id) const;

    config_follower& configuration() { return follower_; }
    const config_follower& configuration() const { return follower_; }
    failure_detector& membership() { return detector_; }
    const failure_detector& membership() const { return detector_; }
    const account_writer* accounts() const { return accounts_.get(); }

    // Refuses new submissions, lets open jobs finish, writes the remaining account records, tells
    // the peers that this instance leaves, and calls `stopped`.
    void shut_down(std::function<void()> stopped);

private:
    void apply(const config_in_force& document);
    void create_dispatcher(const deployment& settings);
    void members_changed();
    void data_centre_changed(std::string_view data_centre, bool reachable);
    void poll_instance_list();
    void leave_group(const std::function<void()>& stopped);

    entry_options options_;
    entry_dependencies dependencies_;
    config_follower follower_;
    failure_detector detector_;
    std::unique_ptr<account_writer> accounts_;
    std::unique_ptr<class account_recorder> recorder_;
    std::shared_ptr<const deployment> settings_;
    std::unique_ptr<class router> router_;
    std::unique_ptr<dispatcher> jobs_;
    std::vector<settings_callback> settings_callbacks_;
    timer_id list_timer_ = 0;
    bool shutting_down_ = false;
    std::shared_ptr<entry_instance*> alive_;
};

} // namespace cactusloom
