#include "membership/membership_codec.h"

#include <cmath>
#include <json/json.h>
#include <memory>

namespace cactusloom {
namespace {

constexpr std::size_t max_text_field = 128;
constexpr const char* ping_method = "membership.ping";
constexpr const char* ping_request_method = "membership.ping_request";

// A member is encoded as an array: the names of eight fields would double its length.
Json::Value to_json(const member& it)
{
    Json::Value array(Json::arrayValue);
    array.append(it.name);
    array.append(it.data_centre);
    array.append(it.address);
    array.append(Json::Value::UInt64{it.incarnation});
    array.append(it.refutation);
    array.append(static_cast<unsigned>(it.state));
    array.append(it.leaving ? 1 : 0);
    array.append(it.weight);
    return array;
}

bool is_text(const Json::Value& value)
{
    return value.isString() && value.asString().size() <= max_text_field;
}

std::optional<member> to_member(const Json::Value& array)
{
    if (!array.isArray() || array.size() != 8 || !is_text(array[0]) || !is_text(array[1]) ||
        !is_text(array[2]) || !array[3].isUInt64() || !array[4].isUInt() || !array[5].isUInt() ||
        !array[6].isUInt() || !array[7].isDouble()) {
        return std::nullopt;
    }
    const auto state = array[5].asUInt();
    const auto weight = array[7].asDouble();
    if (array[0].asString().empty() || state > static_cast<unsigned>(member_state::left) ||
        !std::isfinite(weight) || weight < 0) {
        return std::nullopt;
    }
    return member{array[0].asString(),    array[1].asString(),
                  array[2].asString(),    array[3].asUInt64(),
                  array[4].asUInt(),      static_cast<member_state>(state),
                  array[6].asUInt() != 0, weight};
}

Json::Value to_json(const gossip_payload& gossip)
{
    Json::Value object(Json::objectValue);
    object["from"] = to_json(gossip.from);
    if (!gossip.summary.empty()) {
        object["summary"] = gossip.summary;
    }
    auto& updates = object["updates"] = Json::Value(Json::arrayValue);
    for (const auto& it : gossip.updates) {
        updates.append(to_json(it));
    }
    return object;
}

result<gossip_payload> to_gossip(const Json::Value& object)
{
    if (!object.isObject()) {
        return failure(errc::invalid_argument, "params or result is not an object");
    }
    gossip_payload gossip;
    const auto from = to_member(object["from"]);
    if (!from) {
        return failure(errc::invalid_argument, "field from is not a member");
    }
    gossip.from = *from;
    const auto& summary = object["summary"];
    if (!summary.isNull() &&
        (!summary.isString() || summary.asString().size() > max_summary_bytes)) {
        return failure(errc::invalid_argument, "field summary is not a short text");
    }
    gossip.summary = summary.asString();
    const auto& updates = object["updates"];
    if (!updates.isArray() || updates.size() > max_updates_per_message) {
        return failure(errc::invalid_argument, "field updates is not an array of at most 8");
    }
    for (const auto& it : updates) {
        const auto update = to_member(it);
        if (!update) {
            return failure(errc::invalid_argument, "an update is not a member");
        }
        gossip.updates.push_back(*update);
    }
    return gossip;
}

std::string write(const Json::Value& value)
{
    static const auto builder = [] {
        Json::StreamWriterBuilder it;
        it["indentation"] = "";
        it["precision"] = 6;
        return it;
    }();
    return Json::writeString(builder, value);
}

result<Json::Value> parse(std::string_view text)
{
    if (text.size() > max_membership_message_bytes) {
        return failure(errc::invalid_argument, "message exceeds 16 KiB");
    }
    static const auto builder = [] {
        Json::CharReaderBuilder it;
        Json::CharReaderBuilder::strictMode(&it.settings_);
        it["stackLimit"] = 16;
        return it;
    }();
    Json::Value value;
    std::string problem;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem) ||
            !value.isObject()) {
            return failure(errc::invalid_argument, "message is not a JSON object");
        }
    }
    catch (const Json::Exception&) {
        // jsoncpp throws when the stack limit is exceeded.
        return failure(errc::invalid_argument, "message is nested too deeply");
    }
    if (value["jsonrpc"] != "2.0" || !value["id"].isUInt64()) {
        return failure(errc::invalid_argument, "message is not JSON-RPC 2.0 with a numeric id");
    }
    return value;
}

Json::Value envelope(std::uint64_t id)
{
    Json::Value value(Json::objectValue);
    value["jsonrpc"] = "2.0";
    value["id"] = Json::Value::UInt64{id};
    return value;
}

} // namespace

std::string encode_request(const membership_request& request)
{
    auto value = envelope(request.id);
    const bool is_ping = request.call == membership_request::method::ping;
    value["method"] = is_ping ? ping_method : ping_request_method;
    auto& params = value["params"] = to_json(request.gossip);
    params["target"] = request.target;
    if (!is_ping) {
        params["address"] = request.target_address;
    }
    if (request.after) {
        params["after"] = *request.after;
    }
    return write(value);
}

std::string encode_reply(const membership_reply& reply)
{
    auto value = envelope(reply.id);
    auto& it = value["result"] = to_json(reply.gossip);
    if (reply.target) {
        it["target"] = to_json(*reply.target);
    }
    if (reply.reached) {
        it["reached"] = true;
    }
    return write(value);
}

std::string encode_rpc_error(std::uint64_t id, int code, std::string_view message)
{
    auto value = envelope(id);
    value["error"]["code"] = code;
    value["error"]["message"] = std::string(message);
    return write(value);
}

result<membership_request> decode_request(std::string_view text)
{
    auto value = parse(text);
    if (!value) {
        return value.as_failure();
    }
    membership_request request;
    request.id = value.value()["id"].asUInt64();
    const auto& method = value.value()["method"];
    if (method == ping_request_method) {
        request.call = membership_request::method::ping_request;
    }
    else if (method != ping_method) {
        return failure(errc::not_found, "unknown method");
    }
    const auto& params = value.value()["params"];
    auto gossip = to_gossip(params);
    if (!gossip) {
        return gossip.as_failure();
    }
    request.gossip = std::move(gossip).value();
    if (!is_text(params["target"])) {
        return failure(errc::invalid_argument, "field target is not a short text");
    }
    request.target = params["target"].asString();
    if (request.call == membership_request::method::ping_request) {
        if (!is_text(params["address"])) {
            return failure(errc::invalid_argument, "field address is not a short text");
        }
        request.target_address = params["address"].asString();
    }
    if (params.isMember("after")) {
        if (!is_text(params["after"])) {
            return failure(errc::invalid_argument, "field after is not a short text");
        }
        request.after = params["after"].asString();
    }
    return request;
}

result<membership_reply> decode_reply(std::string_view text)
{
    auto value = parse(text);
    if (!value) {
        return value.as_failure();
    }
    const auto& content = value.value()["result"];
    auto gossip = to_gossip(content);
    if (!gossip) {
        return gossip.as_failure();
    }
    membership_reply reply;
    reply.id = value.value()["id"].asUInt64();
    reply.gossip = std::move(gossip).value();
    reply.reached = content["reached"].isBool() && content["reached"].asBool();
    if (content.isMember("target")) {
        reply.target = to_member(content["target"]);
    }
    return reply;
}

} // namespace cactusloom
