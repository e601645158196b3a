#pragma once

#include "base/timer_service.h"
#include "net/tcp_stream.h"

#include <memory>
#include <set>
#include <string>

namespace cactusloom {

// Relays TCP connections to a target and injects network faults: delays, partitions in one or both
// directions, closed connections, and dead connections while new ones work.
class loopback_proxy {
public:
    // Listens on `address` and relays to `target`, both "ip:port". Error: `address` cannot be used.
    static result<std::unique_ptr<loopback_proxy>>
    start(poller& events, timer_service& timers, std::string_view address, std::string target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    // Drops all further traffic on the currently open connections without closing them.
    void blackhole_open_connections();
    void close_open_connections();

    // Hold back all data towards the target or towards the client until heal().
    void block_to_target() { blocks_to_target_ = true; }
    void block_to_client() { blocks_to_client_ = true; }
    void delay(duration by) { delay_ = by; }

    // Removes partitions and delays and delivers the held data.
    void heal();

    std::size_t relayed_bytes() const { return relayed_bytes_; }

private:
    struct connection;

    loopback_proxy(poller& events, timer_service& timers, std::string target);

    void accept(std::shared_ptr<tcp_stream> client);
    void relay(const std::shared_ptr<connection>& it, bool to_target, std::string data);
    void deliver(const std::shared_ptr<connection>& it, bool to_target, std::string_view data);
    void drop(const std::shared_ptr<connection>& it);

    poller& events_;
    timer_service& timers_;
    std::string target_;
    std::unique_ptr<tcp_listener> listener_;
    std::set<std::shared_ptr<connection>> connections_;
    bool blocks_to_target_ = false;
    bool blocks_to_client_ = false;
    duration delay_{};
    std::size_t relayed_bytes_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
