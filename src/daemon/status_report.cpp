#include "status_report.h"

#include "account/account_writer.h"
#include "entry/entry_instance.h"
#include "http/caller_api.h"
#include "http/forwarder.h"
#include "http/http_server.h"
#include "http/json_text.h"
#include "metrics/counters.h"
#include "metrics/latency_recorder.h"

#include <fmt/format.h>
#include <iterator>

namespace cactusloom {

std::string format_status_report(const report_sources& from)
{
    const auto& members = from.entry.membership().members();
    const auto& self = members.self();
    Json::Value root(Json::objectValue);
    root["name"] = self.name;
    root["data_centre"] = self.data_centre;
    root["address"] = self.address;
    root["incarnation"] = Json::UInt64{self.incarnation};
    root["ready"] = from.entry.is_ready();
    root["share"] = members.capacity_share();
    root["config"]["version"] = Json::UInt64{from.entry.configuration().in_force().version};
    root["config"]["log_state"] = to_string(from.entry.configuration().log_state());
    Json::Value& list = root["members"] = Json::Value(Json::arrayValue);
    for (const auto& [name, entry] : members.others()) {
        Json::Value it(Json::objectValue);
        it["name"] = name;
        it["data_centre"] = entry.info.data_centre;
        it["address"] = entry.info.address;
        it["state"] = to_string(entry.info.state);
        it["leaving"] = entry.info.leaving;
        list.append(std::move(it));
    }
    const dispatcher* jobs = from.entry.jobs();
    root["open_jobs"] = Json::UInt64{jobs == nullptr ? 0 : jobs->open_jobs()};
    root["queued_tasks"] = Json::UInt64{jobs == nullptr ? 0 : jobs->queued_tasks()};
    root["open_connections"] = Json::UInt64{from.server.open_connections()};
    if (const account_writer* accounts = from.entry.accounts()) {
        root["account"]["buffered_bytes"] = Json::UInt64{accounts->buffered_bytes()};
        root["account"]["dropped"] = Json::UInt64{accounts->stats().dropped};
    }
    return write_json(root);
}

std::string format_metrics(const report_sources& from)
{
    std::string buf;
    const auto add = [&buf](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(buf), "cactusloom_{} {}\n", name, value);
    };
    for (const auto& [name, value] : from.counts.all()) {
        add(name, value);
    }
    add("http_requests", from.api.counts().requests);
    add("http_malformed", from.api.counts().malformed);
    add("http_forwarded", from.forwards.counts().forwarded);
    add("http_owner_gone", from.forwards.counts().owner_gone);
    add("http_owner_silent", from.forwards.counts().owner_silent);
    add("http_open_connections", from.server.open_connections());
    add("http_refused_connections", from.server.refused_connections());
    add("http_slow_connections", from.server.slow_connections());
    if (const dispatcher* jobs = from.entry.jobs()) {
        add("dispatch_open_jobs", jobs->open_jobs());
        add("dispatch_queued_tasks", jobs->queued_tasks());
        add("dispatch_bytes", jobs->bytes());
        const latency_recorder::summary latency = jobs->latency().read();
        add("job_latency_count", latency.count);
        add("job_latency_p50_us", static_cast<std::uint64_t>(latency.p50.count()));
        add("job_latency_p90_us", static_cast<std::uint64_t>(latency.p90.count()));
        add("job_latency_p99_us", static_cast<std::uint64_t>(latency.p99.count()));
    }
    const auto& traffic = from.entry.membership().traffic();
    add("membership_live", from.entry.membership().members().live_count());
    add("membership_messages_sent", traffic.messages_sent);
    add("membership_bytes_sent", traffic.bytes_sent);
    add("membership_rejected", traffic.rejected);
    const auto& follower = from.entry.configuration().counts();
    add("config_version", from.entry.configuration().in_force().version);
    add("config_records_applied", follower.records_applied);
    add("config_malformed_records", follower.malformed_records);
    add("config_differing_snapshots", follower.differing_snapshots);
    add("config_refused_states", follower.refused_states);
    add("config_adopted_states", follower.adopted_states);
    add("config_snapshots_written", follower.snapshots_written);
    if (const account_writer* accounts = from.entry.accounts()) {
        add("account_batches", accounts->stats().batches);
        add("account_bytes", accounts->stats().bytes);
        add("account_dropped", accounts->stats().dropped);
        add("account_buffered_bytes", accounts->buffered_bytes());
    }
    return buf;
}

} // namespace cactusloom
