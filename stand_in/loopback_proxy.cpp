#include "loopback_proxy.h"

#include "base/log.h"

#include <utility>

namespace cactusloom {

struct loopback_proxy::connection {
    std::shared_ptr<tcp_stream> client;
    std::shared_ptr<tcp_stream> target;
    bool silent = false;
    std::string held_to_target;
    std::string held_to_client;
};

loopback_proxy::loopback_proxy(poller& events, timer_service& timers, std::string target)
    : events_(events), timers_(timers), target_(std::move(target))
{
}

result<std::unique_ptr<loopback_proxy>> loopback_proxy::start(poller& events, timer_service& timers,
                                                              std::string_view address,
                                                              std::string target)
{
    auto out =
        std::unique_ptr<loopback_proxy>(new loopback_proxy(events, timers, std::move(target)));
    auto listener =
        tcp_listener::listen(events, address, [it = out.get()](std::shared_ptr<tcp_stream> client) {
            it->accept(std::move(client));
        });
    if (!listener) {
        return listener.error();
    }
    out->listener_ = std::move(listener.value());
    return out;
}

loopback_proxy::~loopback_proxy()
{
    *alive_ = false;
    close_open_connections();
}

void loopback_proxy::accept(std::shared_ptr<tcp_stream> client)
{
    auto target = tcp_stream::connect(events_, target_);
    if (!target) {
        log_event("proxy_target_unavailable", "target={} reason=\"{}\"", target_,
                  target.error().message);
        client->close();
        return;
    }
    const auto it = std::make_shared<connection>();
    it->client = std::move(client);
    it->target = std::move(target.value());
    connections_.insert(it);
    const std::weak_ptr<connection> weak = it;
    const auto on_data = [this, weak](bool to_target) {
        return [this, weak, to_target](std::string_view data) {
            if (const auto own = weak.lock()) {
                relay(own, to_target, std::string(data));
            }
        };
    };
    const auto on_closed = [this, weak] {
        // Deferred: a stream must not be destroyed inside its own handler.
        timers_.schedule(duration::zero(), [this, weak, alive = alive_] {
            if (const auto own = *alive ? weak.lock() : nullptr) {
                drop(own);
            }
        });
    };
    it->client->on_data = on_data(true);
    it->target->on_data = on_data(false);
    it->client->on_closed = on_closed;
    it->target->on_closed = on_closed;
}

void loopback_proxy::relay(const std::shared_ptr<connection>& it, bool to_target, std::string data)
{
    if (delay_ == duration::zero()) {
        deliver(it, to_target, data);
        return;
    }
    timers_.schedule(delay_, [this, alive = alive_, weak = std::weak_ptr(it), to_target,
                              text = std::move(data)] {
        if (const auto own = *alive ? weak.lock() : nullptr) {
            deliver(own, to_target, text);
        }
    });
}

void loopback_proxy::deliver(const std::shared_ptr<connection>& it, bool to_target,
                             std::string_view data)
{
    if (it->silent) {
        return;
    }
    auto& held = to_target ? it->held_to_target : it->held_to_client;
    if (to_target ? blocks_to_target_ : blocks_to_client_) {
        held += data;
        return;
    }
    const auto& stream = to_target ? it->target : it->client;
    if (stream->is_open()) {
        stream->write(data);
        relayed_bytes_ += data.size();
    }
}

void loopback_proxy::drop(const std::shared_ptr<connection>& it)
{
    for (const auto& stream : {it->client, it->target}) {
        if (stream->is_open()) {
            stream->close();
        }
    }
    connections_.erase(it);
}

void loopback_proxy::blackhole_open_connections()
{
    for (const auto& it : connections_) {
        it->silent = true;
    }
}

void loopback_proxy::close_open_connections()
{
    const auto all = connections_;
    for (const auto& it : all) {
        drop(it);
    }
}

void loopback_proxy::heal()
{
    blocks_to_target_ = false;
    blocks_to_client_ = false;
    delay_ = {};
    for (const auto& it : connections_) {
        deliver(it, true, std::exchange(it->held_to_target, {}));
        deliver(it, false, std::exchange(it->held_to_client, {}));
    }
}

} // namespace cactusloom
