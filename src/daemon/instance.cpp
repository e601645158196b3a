#include "daemon/instance.h"

#include "account/account_reader.h"
#include "base/hash.h"
#include "base/log.h"
#include "config_endpoints.h"
#include "entry/entry_instance.h"
#include "http/caller_api.h"
#include "http/forwarder.h"
#include "http/http_server.h"
#include "http/json_text.h"
#include "http/peer_rpc.h"
#include "metrics/counters.h"
#include "peer_config_client.h"
#include "platform_services.h"
#include "status_report.h"

#include <boost/outcome/success_failure.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace cactusloom {
namespace {

constexpr duration housekeeping_interval = std::chrono::seconds{1};
constexpr duration drain_check_interval = std::chrono::milliseconds{10};

result<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return failure(errc::invalid_argument, fmt::format("cannot read '{}'", path));
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace

// Order matters: members are destroyed in reverse, so that each goes before the ones that it uses.
struct instance::components {
    daemon_settings settings;
    timer_service& timers;
    std::uint64_t id_key = 0;
    counters counts;
    std::string first_document; // published if the log is empty
    timer_id housekeeping_timer = 0;
    timer_id drain_timer = 0;

    std::unique_ptr<platform_services> platform;
    std::unique_ptr<peer_rpc_client> rpc_client;
    std::unique_ptr<peer_config_client> states;
    std::unique_ptr<entry_instance> entry;
    std::unique_ptr<peer_rpc_server> rpc;
    std::unique_ptr<forwarder> forwards;
    std::unique_ptr<caller_api> api;
    std::unique_ptr<http_server> server;

    components(daemon_settings with, timer_service& time) : settings(std::move(with)), timers(time)
    {
    }
    ~components()
    {
        timers.cancel(housekeeping_timer);
        timers.cancel(drain_timer);
    }

    const member& self() const { return entry->membership().members().self(); }
    std::string issue_prefix() const;
    void make_entry(member self_member);
    void make_api();
    void publish_first_document();
    void run_housekeeping();
    result<void> check_ready() const;
    report_sources sources() const { return {*entry, *forwards, *server, *api, counts}; }
    void answer_account(std::string_view customer, caller_api_dependencies::text_callback done);
    void finish_open_exchanges(const std::function<void()>& stopped);
};

std::string instance::components::issue_prefix() const
{
    return make_prefix(
        {self().name, self().data_centre, self().incarnation, timers.monotonic_now()}, id_key);
}

void instance::components::make_entry(member self_member)
{
    const std::uint64_t seed = hash64(self_member.name, self_member.incarnation);
    rpc_client = std::make_unique<peer_rpc_client>(timers);
    states = std::make_unique<peer_config_client>(
        timers, *rpc_client,
        [this]() -> const member_table& { return entry->membership().members(); },
        static_cast<std::uint32_t>(seed));
    entry_options options;
    options.self = std::move(self_member);
    options.checksum_key = id_key;
    options.seed = seed;
    options.config.seed = seed;
    entry = std::make_unique<entry_instance>(std::move(options),
                                             entry_dependencies{.timers = timers,
                                                                .log = platform->log(),
                                                                .workers = platform->workers(),
                                                                .peers = *rpc_client,
                                                                .list = platform->list(),
                                                                .config_peers = states.get(),
                                                                .metrics = &counts});
    entry->on_settings([this](const deployment& next) { platform->apply(next); });
    entry->membership().on_change([](const member_change& change) {
        log_event("member", "name={} state={} data_centre={}", change.now.name,
                  to_string(change.now.state), change.now.data_centre);
    });
    rpc = std::make_unique<peer_rpc_server>(
        peer_rpc_handlers{[this](std::string_view request, std::function<void(std::string)> reply) {
                              entry->membership().handle(request, std::move(reply));
                          },
                          [this](std::uint64_t newer_than) {
                              return entry->configuration().state_for_peer(newer_than);
                          }});
    forwards = std::make_unique<forwarder>(
        timers, self().name, [this](std::string_view id) { return entry->locate(id); },
        [this] { return issue_prefix(); });
}

void instance::components::make_api()
{
    caller_api_dependencies with;
    with.issue_prefix = [this] { return issue_prefix(); };
    with.jobs = [this]() -> job_service* { return entry->jobs(); };
    with.settings = [this]() -> const deployment* { return entry->settings(); };
    with.ready = [this] { return check_ready(); };
    with.status = [this] { return format_status_report(sources()); };
    with.metrics = [this] { return format_metrics(sources()); };
    with.forward = [this](const http_exchange_ptr& exchange, std::string_view id) {
        return forwards->forward(exchange, id);
    };
    with.account = [this](std::string_view customer, caller_api_dependencies::text_callback done) {
        answer_account(customer, std::move(done));
    };
    with.show_config = [this]() -> result<std::string> {
        return format_config(entry->configuration());
    };
    with.config_history = [this](const caller_api_dependencies::text_callback& done) {
        done(format_config_history(entry->configuration()));
    };
    with.edit_config = [this](std::string_view body, caller_api_dependencies::text_callback done) {
        submit_config_edit(entry->configuration(), body, std::move(done));
    };
    api = std::make_unique<caller_api>(std::move(with));
}

// Publishes the document of the settings if the log has none. Several instances may do so at once:
// the edit id is a hash of the text, so that the first record in the log wins.
void instance::components::publish_first_document()
{
    config_follower& follower = entry->configuration();
    if (first_document.empty() || follower.is_ready() ||
        follower.log_state() != config_log_state::following) {
        return;
    }
    const auto parsed = document::parse(first_document);
    config_edit edit;
    edit.id = fmt::format("first-{:016x}", hash64(first_document));
    edit.author = parsed.value().owner_of("owners");
    edit.section = whole_document;
    edit.content = std::exchange(first_document, {});
    follower.submit_edit(edit, [](const result<edit_outcome>& outcome) {
        log_event("first_document", "outcome={}",
                  outcome ? to_string(outcome.value().verdict) : outcome.error().message);
    });
}

void instance::components::run_housekeeping()
{
    publish_first_document();
    housekeeping_timer = timers.schedule(housekeeping_interval, [this] { run_housekeeping(); });
}

result<void> instance::components::check_ready() const
{
    if (!entry->is_ready()) {
        return failure(errc::not_ready, entry->jobs() == nullptr
                                            ? "no configuration is in force yet"
                                            : "shutting down, or replaced by a later process");
    }
    return boost::outcome_v2::success();
}

void instance::components::answer_account(std::string_view customer,
                                          caller_api_dependencies::text_callback done)
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

instance::instance(std::unique_ptr<components> components) : components_(std::move(components)) {}

instance::~instance() = default;

result<std::unique_ptr<instance>> instance::start(const daemon_settings& settings,
                                                  timer_service& timers)
{
    auto graph = std::make_unique<components>(settings, timers);
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
    auto platform = platform_services::make(settings, timers);
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
    // Increases with every restart unless the host's clock is set back to before the last start.
    self.incarnation = static_cast<std::uint64_t>(timers.wall_now().time_since_epoch().count());
    raw->make_entry(std::move(self));
    raw->make_api();
    raw->entry->start();
    raw->run_housekeeping();
    return std::unique_ptr<instance>(new instance(std::move(graph)));
}

std::string instance::address() const
{
    return components_->server->address();
}

// Waits until all waiting callers have their reply before the socket is closed.
void instance::components::finish_open_exchanges(const std::function<void()>& stopped)
{
    if (server->open_exchanges() == 0) {
        stopped();
        return;
    }
    drain_timer =
        timers.schedule(drain_check_interval, [this, stopped] { finish_open_exchanges(stopped); });
}

void instance::shut_down(std::function<void()> stopped)
{
    auto* raw = components_.get();
    raw->entry->shut_down(
        [raw, stopped = std::move(stopped)] { raw->finish_open_exchanges(stopped); });
}

} // namespace cactusloom
