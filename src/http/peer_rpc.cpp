#include "http/peer_rpc.h"

#include "http/json_text.h"

#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace cactusloom {
namespace {

constexpr const char* config_state_method = "config.state";
constexpr std::string_view membership_methods = "membership.";

// Connects jsonrpccpp to HTTP exchanges: sends the reply to the exchange of the request.
class exchange_connector final : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; } // NOLINT: the library's names
    bool StopListening() override { return true; }  // NOLINT
    bool SendResponse(const std::string& response, void* exchange) override // NOLINT
    {
        (*static_cast<const http_exchange_ptr*>(exchange))->reply(200, response);
        return true;
    }
};

} // namespace

peer_rpc_client::peer_rpc_client(timer_service& timers) : client_(timers, {}) {}

void peer_rpc_client::send(std::string_view address, std::string request, duration limit,
                           callback done)
{
    http_call call;
    call.method = "POST";
    call.address = address;
    call.target = peer_path;
    call.body = std::move(request);
    call.limit = limit;
    client_.send(call, [done = std::move(done)](const http_reply& reply) {
        if (reply.end == http_outcome::replied && reply.status == 200) {
            done(reply.body);
        }
        else if (reply.timed_out) {
            done(failure(errc::timed_out, reply.reason));
        }
        else {
            done(failure(reply.end == http_outcome::not_sent ? errc::unavailable : errc::reply_lost,
                         reply.reason));
        }
    });
}

struct connector_holder {
    exchange_connector connector;
};

// The connector is a base class, so that it is constructed before the server that uses it.
struct peer_rpc_server::methods final : connector_holder,
                                        jsonrpc::AbstractServer<peer_rpc_server::methods> {
    explicit methods(const peer_rpc_handlers& with)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2), handlers(with)
    {
        bindAndAddMethod(jsonrpc::Procedure(config_state_method, jsonrpc::PARAMS_BY_NAME,
                                            jsonrpc::JSON_STRING, "newer_than",
                                            jsonrpc::JSON_INTEGER, nullptr),
                         &methods::config_state);
    }

    void config_state(const Json::Value& params, Json::Value& answer)
    {
        const Json::Value& newer_than = params["newer_than"];
        answer = newer_than.isUInt64() ? handlers.config_state(newer_than.asUInt64()) : "";
    }

    const peer_rpc_handlers& handlers;
};

peer_rpc_server::peer_rpc_server(peer_rpc_handlers handlers)
    : handlers_(std::move(handlers)), methods_(std::make_unique<methods>(handlers_))
{
}

peer_rpc_server::~peer_rpc_server() = default;

void peer_rpc_server::serve(const http_exchange_ptr& exchange)
{
    const auto root = parse_json(exchange->body());
    const bool is_membership = root && root.value().isObject() &&
                               root.value()["method"].isString() &&
                               root.value()["method"].asString().starts_with(membership_methods);
    if (is_membership) {
        handlers_.membership(exchange->body(),
                             [exchange](const std::string& reply) { exchange->reply(200, reply); });
        return;
    }
    http_exchange_ptr shared = exchange;
    methods_->connector.OnRequest(std::string(exchange->body()), &shared);
}

std::string make_config_state_request(std::uint64_t newer_than)
{
    Json::Value root(Json::objectValue);
    root["jsonrpc"] = "2.0";
    root["id"] = 1;
    root["method"] = config_state_method;
    root["params"]["newer_than"] = Json::UInt64{newer_than};
    return write_json(root);
}

result<std::string> read_config_state_reply(std::string_view text)
{
    const auto root = parse_json(text);
    if (!root || !root.value().isObject() || !root.value()["result"].isString()) {
        return failure(errc::invalid_argument, "the reply has no state");
    }
    return root.value()["result"].asString();
}

} // namespace cactusloom
