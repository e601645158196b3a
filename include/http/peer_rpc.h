#pragma once

#include "http/http_client.h"
#include "http/http_server.h"
#include "membership/peer_transport.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// Path of the JSON-RPC endpoint, on the same address as the caller API.
inline constexpr std::string_view peer_path = "/v1/peer";

// Sends JSON-RPC requests to other instances over HTTP, without blocking.
class peer_rpc_client final : public peer_transport {
public:
    // `timers` must outlive the client.
    explicit peer_rpc_client(timer_service& timers);

    void send(std::string_view address, std::string request, duration limit,
              callback done) override;

private:
    http_client client_;
};

// Handlers of the endpoint's methods. Both must be set.
struct peer_rpc_handlers {
    // Methods "membership.*". The failure detector parses the request itself and may answer later;
    // jsonrpccpp's server can only answer immediately.
    std::function<void(std::string_view request, std::function<void(std::string)>)> membership;
    // Method "config.state": the configuration state for a peer, empty if there is nothing newer.
    std::function<std::string(std::uint64_t newer_than)> config_state;
};

// Answers JSON-RPC requests of other instances. Methods other than "membership.*" go through
// jsonrpccpp's server.
class peer_rpc_server {
public:
    explicit peer_rpc_server(peer_rpc_handlers handlers);
    ~peer_rpc_server();
    peer_rpc_server(const peer_rpc_server&) = delete;
    peer_rpc_server& operator=(const peer_rpc_server&) = delete;

    // Answers one request to `peer_path`.
    void serve(const http_exchange_ptr& exchange);

private:
    struct methods;
    peer_rpc_handlers handlers_;
    std::unique_ptr<methods> methods_;
};

// Builds a "config.state" request, and extracts the state from its reply.
std::string make_config_state_request(std::uint64_t newer_than);
result<std::string> read_config_state_reply(std::string_view text);

} // namespace cactusloom
