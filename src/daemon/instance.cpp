#include "daemon/instance.h"

#include "account/account_reader.h"
#include "account/account_writer.h"
#include "account_observer.h"
#include "base/hash.h"
#include "base/log.h"
#include "config/config_follower.h"
#include "config/stable_positions.h"
#include "config_endpoints.h"
#include "dispatch/dispatcher.h"
#include "http/caller_api.h"
#include "http/forwarder.h"
#include "http/http_server.h"
#include "http/json_text.h"
#include "metrics/counters.h"
#include "peer_link.h"
#include "platform_access.h"
#include "routing/router.h"
#include "status_report.h"

#include <algorithm>
#include <boost/outcome/success_failure.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace cactusloom {
namespace {

constexpr duration housekeeping_interval = std::chrono::seconds{1};
constexpr duration drain_check_interval = std::chrono::milliseconds{10};
constexpr duration account_close_limit = std::chrono::seconds{5};

result<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return failure(errc::invalid_argument, fmt::format("cannot read '{}'", path));
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

// Members are destroyed in reverse order: what sends or serves goes before what it calls.
struct instance::parts {
    daemon_settings settings;
    timer_service& timers;
    std::uint64_t id_key = 0;
    counters counts;
    deployment current; // with stable positions
    bool has_document = false;
    bool shutting_down = false;
    bool superseded = false;
    std::string first_document; // text to publish to an empty log
    timer_id housekeeping_timer = 0;
    timer_id drain_timer = 0;

    std::unique_ptr<router> routes;
    std::unique_ptr<account_observer> observer;
    std::unique_ptr<dispatcher> jobs;
    std::unique_ptr<caller_api> api;
    std::unique_ptr<forwarder> forwards;
    std::unique_ptr<peer_rpc_server> rpc;
    std::unique_ptr<platform_access> platform;
    std::unique_ptr<peer_link> peers;
    std::unique_ptr<config_follower> follower;
    std::unique_ptr<account_writer> account;
    std::unique_ptr<http_server> server;

    parts(daemon_settings with, timer_service& time) : settings(std::move(with)), timers(time) {}
    ~parts()
    {
        timers.cancel(housekeeping_timer);
        timers.cancel(drain_timer);
    }

    const member& self() const { return peers->members().self(); }
    std::string issue_prefix() const;
    void make_services(const member& self_member, std::uint32_t seed);
    void make_api();
    void apply_document(const deployment& next);
    void publish_first_document();
    void update_shares();
    void keep_house();
    result<void> check_ready() const;
    report_sources sources() const;
    void answer_account(std::string_view customer, caller_api_parts::text_callback done);
    void finish_shutdown(std::function<void()> stopped);
};

std::string instance::parts::issue_prefix() const
{
    return make_prefix(
        {self().name, self().data_centre, self().incarnation, timers.monotonic_now()}, id_key);
}

void instance::parts::make_services(const member& self_member, std::uint32_t seed)
{
    peers = std::make_unique<peer_link>(timers, self_member, seed, platform->list());
    config_follower_options options;
    options.seed = seed;
    follower = std::make_unique<config_follower>(platform->log(), timers, peers.get(), options);
    account_writer_settings account_settings;
    account_settings.instance = self_member.name;
    account_settings.incarnation = self_member.incarnation;
    account = std::make_unique<account_writer>(platform->log(), timers, account_settings);
    observer = std::make_unique<account_observer>(
        *account, account_observer::names{
                      [this](worker_id worker) {
                          return worker < current.workers.size() ? current.workers[worker].name
                                                                 : std::to_string(worker);
                      },
                      [this] { return follower->in_force().version; },
                      [this](std::string_view kind) {
                          return std::any_of(current.kinds.begin(), current.kinds.end(),
                                             [&](const request_kind& it) {
                                                 return it.name == kind && it.second_start;
                                             });
                      }});
    rpc = std::make_unique<peer_rpc_server>(peer_rpc_parts{
        [this](std::string_view request, std::function<void(std::string)> reply) {
            peers->detector().handle(request, std::move(reply));
        },
        [this](std::uint64_t newer_than) { return follower->state_for_peer(newer_than); }});
    forwards = std::make_unique<forwarder>(
        timers, self_member.name,
        [this](std::string_view id) { return locate_submission(id, peers->members(), id_key); },
        [this] { return issue_prefix(); });
    peers->detector().on_change([this](const member_change& change) {
        log_event("member", "name={} state={} data_centre={}", change.now.name,
                  to_string(change.now.state), change.now.data_centre);
        update_shares();
    });
    peers->detector().on_reach([this](std::string_view data_centre, bool reachable) {
        log_event("data_centre", "name={} reachable={}", data_centre, reachable);
        update_shares();
    });
    follower->subscribe(
        [this](const config_in_force& in_force) { apply_document(*in_force.settings); });
}

void instance::parts::make_api()
{
    caller_api_parts with;
    with.issue_prefix = [this] { return issue_prefix(); };
    with.jobs = [this]() -> job_service* { return jobs.get(); };
    with.settings = [this]() -> const deployment* { return has_document ? &current : nullptr; };
    with.ready = [this] { return check_ready(); };
    with.status = [this] { return format_status_report(sources()); };
    with.metrics = [this] { return format_metrics(sources()); };
    with.forward = [this](const http_exchange_ptr& exchange, std::string_view id) {
        return forwards->forward(exchange, id);
    };
    with.account = [this](std::string_view customer, caller_api_parts::text_callback done) {
        answer_account(customer, std::move(done));
    };
    with.show_config = [this]() -> result<std::string> { return format_config(*follower); };
    with.config_history = [this](const caller_api_parts::text_callback& done) {
        done(format_config_history(*follower));
    };
    with.edit_config = [this](std::string_view body, caller_api_parts::text_callback done) {
        submit_config_edit(*follower, body, std::move(done));
    };
    api = std::make_unique<caller_api>(std::move(with));
}

void instance::parts::apply_document(const deployment& next)
{
    current = has_document ? with_stable_positions(current, next) : next;
    platform->apply(current);
    if (!has_document) {
        const double share = peers->members().capacity_share();
        routes = router::make(current, timers, {self().incarnation, share});
        dispatcher_options options;
        options.instance = self().name;
        options.data_centre = self().data_centre;
        options.incarnation = self().incarnation;
        options.checksum_key = id_key;
        options.seed = self().incarnation;
        options.share = share;
        jobs = std::make_unique<dispatcher>(
            current, options,
            dispatcher::parts{platform->workers(), *routes, timers, observer.get(), &counts});
        has_document = true;
    }
    else {
        routes->apply(current);
        jobs->apply(current);
    }
    log_event("document_in_force", "version={} name={} workers={}", follower->in_force().version,
              current.name, current.workers.size());
    update_shares();
}

// A log without any document is filled from the file of the settings. Several instances may do so
// at once: the edit id follows from the text, so the log's order decides.
void instance::parts::publish_first_document()
{
    if (first_document.empty() || has_document ||
        follower->log_state() != config_log_state::following) {
        return;
    }
    const auto parsed = document::parse(first_document);
    config_edit edit;
    edit.id = fmt::format("first-{:016x}", hash64(first_document));
    edit.author = parsed.value().owner_of("owners");
    edit.section = whole_document;
    edit.content = std::exchange(first_document, {});
    follower->submit_edit(std::move(edit), [](const result<edit_outcome>& outcome) {
        log_event("first_document", "outcome={}",
                  outcome ? to_string(outcome.value().verdict) : outcome.error().message);
    });
}

void instance::parts::update_shares()
{
    const auto& members = peers->members();
    account->set_instances(members.live_count());
    follower->set_rank(members.rank());
    if (has_document) {
        routes->set_share(members.capacity_share());
        jobs->set_share(members.capacity_share());
    }
}

void instance::parts::keep_house()
{
    publish_first_document();
    if (peers->detector().is_superseded() && !std::exchange(superseded, true)) {
        log_event("superseded", "name={}", self().name);
        if (jobs) {
            jobs->shut_down([] {});
        }
    }
    housekeeping_timer = timers.schedule(housekeeping_interval, [this] { keep_house(); });
}

result<void> instance::parts::check_ready() const
{
    if (!has_document) {
        return failure(errc::not_ready, "no configuration is in force yet");
    }
    if (shutting_down || superseded) {
        return failure(errc::not_ready, shutting_down ? "shutting down" : "superseded");
    }
    return boost::outcome_v2::success();
}

report_sources instance::parts::sources() const
{
    return {*peers, *follower, *account,   *forwards,    *server,
            *api,   counts,    jobs.get(), shutting_down};
}

void instance::parts::answer_account(std::string_view customer,
                                     caller_api_parts::text_callback done)
{
    read_account(platform->log(), timers, nullptr, std::string(customer),
                 [done = std::move(done)](const result<account_statement>& found) {
                     if (!found) {
                         done(found.error());
                         return;
                     }
                     Json::Value root(Json::objectValue);
                     root["customer"] = found.value().customer;
                     root["complete"] = found.value().is_complete();
                     root["records"] = Json::UInt64{found.value().records.size()};
                     root["gaps"] = Json::UInt64{found.value().gaps.size()};
                     root["unknowns"] = Json::UInt64{found.value().unknowns.size()};
                     root["text"] = to_text(found.value());
                     done(write_json(root));
                 });
}

instance::instance(std::unique_ptr<parts> parts) : parts_(std::move(parts)) {}

instance::~instance() = default;

result<std::unique_ptr<instance>> instance::start(const daemon_settings& settings,
                                                  timer_service& timers)
{
    auto graph = std::make_unique<parts>(settings, timers);
    auto* raw = graph.get();
    raw->id_key = hash64(settings.id_key);
    if (!settings.config.empty()) {
        auto text = read_file(settings.config);
        if (!text) {
            return text.error();
        }
        if (const auto parsed = document::parse(text.value()); !parsed) {
            return failure(errc::invalid_argument,
                           fmt::format("{}:\n{}", settings.config, to_string(parsed.error())));
        }
        raw->first_document = std::move(text).value();
    }
    auto platform = platform_access::make(settings, timers);
    if (!platform) {
        return platform.error();
    }
    raw->platform = std::move(platform).value();
    http_server_limits limits;
    limits.max_connections = static_cast<std::size_t>(settings.max_connections);
    auto server =
        http_server::listen(settings.listen, timers, limits, [raw](const http_exchange_ptr& it) {
            if (it->path() == peer_path && it->method() == "POST") {
                raw->rpc->serve(it);
                return;
            }
            raw->api->serve(it);
        });
    if (!server) {
        return server.error();
    }
    raw->server = std::move(server).value();
    member self;
    self.name = settings.name;
    self.data_centre = settings.data_centre;
    self.address = settings.advertise.empty() ? raw->server->address() : settings.advertise;
    // Greater after every restart, as long as the host's clock does not go back beyond it.
    self.incarnation = static_cast<std::uint64_t>(timers.wall_now().time_since_epoch().count());
    raw->make_services(self, static_cast<std::uint32_t>(hash64(settings.name, self.incarnation)));
    raw->make_api();
    raw->peers->start();
    raw->follower->start();
    raw->account->start();
    raw->keep_house();
    return std::unique_ptr<instance>(new instance(std::move(graph)));
}

std::string instance::address() const
{
    return parts_->server->address();
}

// Replies to callers that wait are sent before the socket goes.
void instance::parts::finish_shutdown(std::function<void()> stopped)
{
    if (server->open_exchanges() > 0) {
        drain_timer = timers.schedule(drain_check_interval, [this, stopped = std::move(stopped)] {
            finish_shutdown(stopped);
        });
        return;
    }
    account->close(account_close_limit, [this, stopped = std::move(stopped)](const auto& closed) {
        if (!closed) {
            log_event("account_not_closed", "reason=\"{}\"", closed.error().message);
        }
        peers->detector().leave(stopped);
    });
}

void instance::shut_down(std::function<void()> stopped)
{
    auto* raw = parts_.get();
    if (std::exchange(raw->shutting_down, true)) {
        return;
    }
    raw->peers->detector().announce_leaving();
    const auto drained = [raw, stopped = std::move(stopped)] { raw->finish_shutdown(stopped); };
    if (raw->jobs) {
        raw->jobs->shut_down(drained);
    }
    else {
        drained();
    }
}

} // namespace cactusloom
