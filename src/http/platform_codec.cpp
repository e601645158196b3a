#include "http/platform_codec.h"

#include "http/json_text.h"

namespace cactusloom {
namespace {

auto malformed(const char* what)
{
    return failure(errc::invalid_argument,
                   std::string("the platform's reply has no valid ") + what);
}

} // namespace

std::string format_offset(log_offset offset)
{
    Json::Value root(Json::objectValue);
    root["offset"] = Json::UInt64{offset};
    return write_json(root);
}

result<log_offset> parse_offset(std::string_view text)
{
    const auto root = parse_json(text);
    if (!root || !root.value().isObject() || !root.value()["offset"].isUInt64()) {
        return malformed("offset");
    }
    return log_offset{root.value()["offset"].asUInt64()};
}

std::string format_page(const log_page& page)
{
    Json::Value root(Json::objectValue);
    root["first_retained"] = Json::UInt64{page.first_retained};
    root["end"] = Json::UInt64{page.end};
    Json::Value& records = root["records"] = Json::Value(Json::arrayValue);
    for (const auto& it : page.records) {
        Json::Value record(Json::objectValue);
        record["offset"] = Json::UInt64{it.offset};
        record["time_us"] = Json::Int64{it.time.time_since_epoch().count()};
        record["content"] = it.content;
        records.append(std::move(record));
    }
    return write_json(root);
}

result<log_page> parse_page(std::string_view text)
{
    const auto root = parse_json(text);
    if (!root || !root.value().isObject()) {
        return malformed("page");
    }
    const Json::Value& fields = root.value();
    if (!fields["first_retained"].isUInt64() || !fields["end"].isUInt64() ||
        !fields["records"].isArray()) {
        return malformed("page");
    }
    log_page page;
    page.first_retained = fields["first_retained"].asUInt64();
    page.end = fields["end"].asUInt64();
    for (const auto& it : fields["records"]) {
        if (!it.isObject() || !it["offset"].isUInt64() || !it["time_us"].isInt64() ||
            !it["content"].isString()) {
            return malformed("record");
        }
        // Readers rely on offsets without gaps.
        if (!page.records.empty() &&
            page.records.back().offset + 1 != log_offset{it["offset"].asUInt64()}) {
            return malformed("order of records");
        }
        page.records.push_back({it["offset"].asUInt64(),
                                wall_time{duration{it["time_us"].asInt64()}},
                                it["content"].asString()});
    }
    return page;
}

std::string format_instances(const std::vector<listed_instance>& instances)
{
    Json::Value root(Json::objectValue);
    Json::Value& list = root["instances"] = Json::Value(Json::arrayValue);
    for (const auto& it : instances) {
        Json::Value entry(Json::objectValue);
        entry["name"] = it.name;
        entry["data_centre"] = it.data_centre;
        entry["address"] = it.address;
        entry["leaving"] = it.leaving;
        list.append(std::move(entry));
    }
    return write_json(root);
}

result<std::vector<listed_instance>> parse_instances(std::string_view text)
{
    const auto root = parse_json(text);
    if (!root || !root.value().isObject() || !root.value()["instances"].isArray()) {
        return malformed("list");
    }
    std::vector<listed_instance> found;
    for (const auto& it : root.value()["instances"]) {
        if (!it.isObject() || !it["name"].isString() || !it["data_centre"].isString() ||
            !it["address"].isString() || !it["leaving"].isBool()) {
            return malformed("instance");
        }
        found.push_back({it["name"].asString(), it["data_centre"].asString(),
                         it["address"].asString(), it["leaving"].asBool()});
    }
    return found;
}

std::string format_platform_error(const error& reason)
{
    Json::Value root(Json::objectValue);
    root["error"] = to_string(reason.code);
    root["message"] = reason.message;
    return write_json(root);
}

error parse_platform_error(std::string_view text)
{
    const auto root = parse_json(text);
    if (root && root.value().isObject() && root.value()["error"].isString() &&
        root.value()["message"].isString()) {
        for (const auto code : {errc::invalid_argument, errc::not_found, errc::unavailable,
                                errc::limit_exceeded, errc::reply_lost}) {
            if (root.value()["error"].asString() == to_string(code)) {
                return {code, root.value()["message"].asString()};
            }
        }
    }
    return {errc::internal, "the platform's reply does not follow the protocol"};
}

} // namespace cactusloom
