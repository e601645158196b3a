#include "account/account_archive_codec.h"

#include <fmt/format.h>
#include <json/json.h>
#include <memory>

namespace cactusloom {
namespace {

std::string quote(const std::string& text)
{
    static const auto builder = [] {
        Json::StreamWriterBuilder it;
        it["indentation"] = "";
        it["emitUTF8"] = true;
        return it;
    }();
    return Json::writeString(builder, Json::Value(text));
}

} // namespace

std::string encode_archive_line(const log_record& record)
{
    return fmt::format(R"({{"offset":{},"time":{},"content":{}}})", record.offset,
                       record.time.time_since_epoch().count(), quote(record.content));
}

result<log_record> decode_archive_line(std::string_view line)
{
    static const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    try {
        if (!reader->parse(line.data(), line.data() + line.size(), &value, &problem) ||
            !value.isObject() || !value["offset"].isUInt64() || !value["time"].isInt64() ||
            !value["content"].isString()) {
            return failure(errc::invalid_argument, "line is not an archived log record");
        }
    }
    catch (const Json::Exception&) {
        // jsoncpp throws when a damaged line nests beyond its stack limit.
        return failure(errc::invalid_argument, "line is nested too deeply");
    }
    return log_record{value["offset"].asUInt64(), wall_time{duration{value["time"].asInt64()}},
                      value["content"].asString()};
}

} // namespace cactusloom
