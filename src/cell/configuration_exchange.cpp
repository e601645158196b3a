#include "cell/configuration_exchange.h"

#include "base/hash.h"
#include "base/log.h"
#include "http/json_fields.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cactusloom {

namespace {

// Meanwhile an own read may complete, and more peers may announce that they have the version.
constexpr duration request_delay = std::chrono::milliseconds{50};
// A large configuration takes 80 ms on the slowest link, of 20 Mbit/s.
constexpr duration reply_timeout = std::chrono::milliseconds{300};
constexpr std::uint64_t max_reply_timeout_doublings = 2;

} // namespace

configuration_exchange::configuration_exchange(timer_service& timers, instance_mesh& mesh)
    : on_configuration([](const std::string&, std::uint64_t) {}), timers_(timers), mesh_(mesh)
{
    mesh_.on_newer_config = [this] {
        if (!announced_at_) {
            announced_at_ = timers_.monotonic_now();
        }
        if (timer_ == 0) {
            schedule_request(request_delay);
        }
    };
}

configuration_exchange::~configuration_exchange()
{
    mesh_.on_newer_config = [] {};
    timers_.cancel(timer_);
}

void configuration_exchange::set_current(std::int64_t version, std::string text,
                                         std::uint64_t offset)
{
    if (const auto announced_at = std::exchange(announced_at_, std::nullopt)) {
        const auto delay = timers_.monotonic_now() - *announced_at;
        delays_.record(delay);
        log_event("configuration_awaited", "version={} for_ms={} requests={} bytes={}", version,
                  delay.count() / 1000, attempts_, text.size());
    }
    version_ = version;
    text_ = std::move(text);
    next_offset_ = offset + 1;
    attempts_ = 0;
}

void configuration_exchange::schedule_request(duration delay)
{
    timer_ = timers_.schedule(delay, [this] { request_newer(); });
}

void configuration_exchange::request_newer()
{
    timer_ = 0;
    const auto peers = mesh_.peers_with_newer_config(version_);
    if (peers.empty()) {
        return;
    }
    Json::Value request;
    request["t"] = "config_request";
    const auto first = hash64(mesh_.self().name) + attempts_;
    bool sent = false;
    for (std::size_t i = 0; i < peers.size() && !sent; ++i) {
        sent = mesh_.send(peers[(first + i) % peers.size()], request);
    }
    if (!sent) {
        log_event("config_request_unsent", "peers={}", peers.size());
    }
    // A large reply may be on its way over a slow link; another one would delay it.
    schedule_request(reply_timeout * (1 << std::min(attempts_, max_reply_timeout_doublings)));
    ++attempts_;
}

bool configuration_exchange::on_message(const std::string& peer, const Json::Value& message,
                                        const instance_mesh::sender& reply)
{
    json_fields in(message);
    const auto kind = in.text("t");
    if (kind == "config_request") {
        if (!text_.empty()) {
            Json::Value out;
            out["t"] = "config";
            out["version"] = Json::Int64{version_};
            out["text"] = text_;
            out["next_offset"] = Json::UInt64{next_offset_};
            reply(out);
        }
        return true;
    }
    if (kind != "config") {
        return false;
    }
    const auto text = in.text("text");
    if (text.empty()) {
        log_event("config_message_unreadable", "instance={}", peer);
        return true;
    }
    if (in.integer("version", {0, std::numeric_limits<std::int64_t>::max()},
                   std::numeric_limits<std::int64_t>::max()) <= version_) {
        return true; // arrived on another way meanwhile
    }
    on_configuration(text, in.number("next_offset"));
    return true;
}

} // namespace cactusloom
