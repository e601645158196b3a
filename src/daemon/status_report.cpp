#include "status_report.h"

#include "account/account_writer.h"
#include "config/config_follower.h"
#include "dispatch/dispatcher.h"
#include "http/caller_api.h"
#include "http/forwarder.h"
#include "http/http_server.h"
#include "http/json_text.h"
#include "metrics/counters.h"
#include "peer_link.h"

#include <fmt/format.h>
#include <iterator>

namespace cactusloom {

std::string format_status_report(const report_sources& from)
{
    const auto& members = from.peers.members();
    const auto& self = members.self();
    Json::Value root(Json::objectValue);
    root["name"] = self.name;
    root["data_centre"] = self.data_centre;
    root["address"] = self.address;
    root["incarnation"] = Json::UInt64{self.incarnation};
    root["ready"] = from.jobs != nullptr && !from.shutting_down;
    root["shutting_down"] = from.shutting_down;
    root["share"] = members.capacity_share();
    root["config"]["version"] = Json::UInt64{from.follower.in_force().version};
    root["config"]["log_state"] = to_string(from.follower.log_state());
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
    root["open_jobs"] = Json::UInt64{from.jobs == nullptr ? 0 : from.jobs->open_jobs()};
    root["queued_tasks"] = Json::UInt64{from.jobs == nullptr ? 0 : from.jobs->queued_tasks()};
    root["open_connections"] = Json::UInt64{from.server.open_connections()};
    root["account"]["buffered_bytes"] = Json::UInt64{from.account.buffered_bytes()};
    root["account"]["dropped"] = Json::UInt64{from.account.stats().dropped};
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
    if (from.jobs != nullptr) {
        add("dispatch_open_jobs", from.jobs->open_jobs());
        add("dispatch_queued_tasks", from.jobs->queued_tasks());
        add("dispatch_bytes", from.jobs->bytes());
    }
    const auto& traffic = from.peers.detector().traffic();
    add("membership_live", from.peers.members().live_count());
    add("membership_messages_sent", traffic.messages_sent);
    add("membership_bytes_sent", traffic.bytes_sent);
    add("membership_rejected", traffic.rejected);
    const auto& follower = from.follower.counts();
    add("config_version", from.follower.in_force().version);
    add("config_records_applied", follower.records_applied);
    add("config_malformed_records", follower.malformed_records);
    add("config_differing_snapshots", follower.differing_snapshots);
    add("config_refused_states", follower.refused_states);
    add("config_adopted_states", follower.adopted_states);
    add("config_snapshots_written", follower.snapshots_written);
    add("account_batches", from.account.stats().batches);
    add("account_bytes", from.account.stats().bytes);
    add("account_dropped", from.account.stats().dropped);
    add("account_buffered_bytes", from.account.buffered_bytes());
    return buf;
}

} // namespace cactusloom
