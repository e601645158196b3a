#include "http/json_text.h"

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace cactusloom {

result<Json::Value> parse_json(std::string_view text)
{
    static const auto reader = [] {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["strictRoot"] = false;
        builder["stackLimit"] = 64;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }();
    Json::Value root;
    std::string problems;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &root, &problems)) {
            return failure(errc::invalid_argument, "not valid JSON: " + problems);
        }
    }
    catch (const std::exception& ec) { // jsoncpp throws if the nesting is too deep
        return failure(errc::invalid_argument, std::string("not valid JSON: ") + ec.what());
    }
    return root;
}

result<Json::Value> parse_json_object(std::string_view text)
{
    auto value = parse_json(text);
    if (value && !value.value().isObject()) {
        return failure(errc::invalid_argument, "not a JSON object");
    }
    return value;
}

std::string write_json(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder it;
        it["indentation"] = "";
        return it;
    }();
    return Json::writeString(builder, value);
}

} // namespace cactusloom
