#include "config/config_record_codec.h"

#include <charconv>
#include <fmt/format.h>
#include <json/json.h>
#include <memory>
#include <optional>

namespace cactusloom {
namespace {

std::string write(const Json::Value& value)
{
    static const auto builder = [] {
        Json::StreamWriterBuilder b;
        b["indentation"] = "";
        return b;
    }();
    return Json::writeString(builder, value);
}

// Other tools lose digits of JSON numbers above 2^53, so digests are written as text.
std::string to_hex(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

Json::Int64 to_json(wall_time time)
{
    return time.time_since_epoch().count();
}

Json::Value to_json(const config_section& section)
{
    Json::Value json;
    json["name"] = section.name;
    json["text"] = section.text;
    json["version"] = Json::UInt64{section.version};
    json["author"] = section.author;
    json["edit"] = section.edit_id;
    return json;
}

Json::Value to_json(const config_change& change)
{
    Json::Value json;
    json["offset"] = Json::UInt64{change.offset};
    json["time_us"] = to_json(change.time);
    json["edit"] = change.edit_id;
    json["author"] = change.author;
    json["section"] = change.section;
    json["base"] = Json::UInt64{change.base_version};
    json["verdict"] = to_string(change.verdict);
    json["detail"] = change.detail;
    json["repeats"] = change.repeats;
    return json;
}

// Reads members of a JSON object and tracks whether all were present and of the right type.
class member_reader {
public:
    explicit member_reader(const Json::Value& object) : object_(object), good_(object.isObject()) {}

    bool good() const { return good_; }

    void read(const char* name, std::string& field)
    {
        if (const auto* value = get(name); value != nullptr && check(value->isString())) {
            field = value->asString();
        }
    }

    void read(const char* name, std::uint64_t& field)
    {
        if (const auto* value = get(name); value != nullptr && check(value->isUInt64())) {
            field = value->asUInt64();
        }
    }

    void read(const char* name, std::uint32_t& field)
    {
        if (const auto* value = get(name); value != nullptr && check(value->isUInt())) {
            field = value->asUInt();
        }
    }

    void read(const char* name, bool& field)
    {
        if (const auto* value = get(name); value != nullptr && check(value->isBool())) {
            field = value->asBool();
        }
    }

    void read(const char* name, wall_time& field)
    {
        if (const auto* value = get(name); value != nullptr && check(value->isInt64())) {
            field = wall_time{duration{value->asInt64()}};
        }
    }

    void read(const char* name, edit_verdict& field)
    {
        std::string text;
        read(name, text);
        for (const auto it : {edit_verdict::accepted, edit_verdict::stale_base,
                              edit_verdict::not_owner, edit_verdict::invalid}) {
            if (text == to_string(it)) {
                field = it;
                return;
            }
        }
        good_ = false;
    }

    void read_hex(const char* name, std::uint64_t& field)
    {
        std::string text;
        read(name, text);
        constexpr int base = 16;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, field, base);
        check(parsed.ec == std::errc{} && parsed.ptr == end);
    }

    template<typename Item>
    void read(const char* name, std::vector<Item>& items)
    {
        const auto* list = get(name);
        if (list == nullptr || !check(list->isArray())) {
            return;
        }
        for (const auto& it : *list) {
            member_reader reader(it);
            read_members(reader, items.emplace_back());
            check(reader.good());
        }
    }

private:
    static void read_members(member_reader& reader, config_section& section);
    static void read_members(member_reader& reader, config_change& change);

    const Json::Value* get(const char* name)
    {
        const auto* value =
            good_ ? object_.find(name, name + std::char_traits<char>::length(name)) : nullptr;
        check(value != nullptr);
        return value;
    }

    bool check(bool condition)
    {
        good_ = good_ && condition;
        return condition;
    }

    const Json::Value& object_;
    bool good_;
};

void member_reader::read_members(member_reader& reader, config_section& section)
{
    reader.read("name", section.name);
    reader.read("text", section.text);
    reader.read("version", section.version);
    reader.read("author", section.author);
    reader.read("edit", section.edit_id);
}

void member_reader::read_members(member_reader& reader, config_change& change)
{
    reader.read("offset", change.offset);
    reader.read("time_us", change.time);
    reader.read("edit", change.edit_id);
    reader.read("author", change.author);
    reader.read("section", change.section);
    reader.read("base", change.base_version);
    reader.read("verdict", change.verdict);
    reader.read("detail", change.detail);
    reader.read("repeats", change.repeats);
}

std::optional<Json::Value> parse(std::string_view text)
{
    static const auto builder = [] {
        Json::CharReaderBuilder b;
        Json::CharReaderBuilder::strictMode(&b.settings_);
        return b;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &json, nullptr)) {
            return json;
        }
    }
    catch (const Json::Exception&) {
        // Thrown for nesting beyond the parser's limit.
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const config_edit& edit)
{
    Json::Value json;
    json["type"] = "edit";
    json["id"] = edit.id;
    json["author"] = edit.author;
    json["section"] = edit.section;
    json["base"] = Json::UInt64{edit.base_version};
    json["content"] = edit.content;
    return write(json);
}

std::string encode(const config_snapshot& snapshot)
{
    Json::Value json;
    json["type"] = "snapshot";
    json["next"] = Json::UInt64{snapshot.next};
    json["last_digest"] = to_hex(snapshot.last_digest);
    json["chain_digest"] = to_hex(snapshot.chain_digest);
    json["has_snapshot"] = snapshot.has_snapshot;
    json["snapshot_offset"] = Json::UInt64{snapshot.snapshot_offset};
    json["snapshot_next"] = Json::UInt64{snapshot.snapshot_next};
    json["snapshot_time_us"] = to_json(snapshot.snapshot_time);
    auto& sections = json["sections"] = Json::Value(Json::arrayValue);
    for (const auto& it : snapshot.sections) {
        sections.append(to_json(it));
    }
    auto& history = json["history"] = Json::Value(Json::arrayValue);
    for (const auto& it : snapshot.history) {
        history.append(to_json(it));
    }
    return write(json);
}

result<config_record> decode_config_record(std::string_view text)
{
    const auto json = parse(text);
    const auto malformed = [](const char* what) { return failure(errc::invalid_argument, what); };
    if (!json || !json->isObject()) {
        return malformed("configuration record is not a JSON object");
    }
    member_reader reader(*json);
    std::string type;
    reader.read("type", type);
    if (type == "edit") {
        config_edit edit;
        reader.read("id", edit.id);
        reader.read("author", edit.author);
        reader.read("section", edit.section);
        reader.read("base", edit.base_version);
        reader.read("content", edit.content);
        if (!reader.good()) {
            return malformed("edit record lacks a member or has one of another type");
        }
        return config_record(std::move(edit));
    }
    if (type == "snapshot") {
        config_snapshot snapshot;
        reader.read("next", snapshot.next);
        reader.read_hex("last_digest", snapshot.last_digest);
        reader.read_hex("chain_digest", snapshot.chain_digest);
        reader.read("has_snapshot", snapshot.has_snapshot);
        reader.read("snapshot_offset", snapshot.snapshot_offset);
        reader.read("snapshot_next", snapshot.snapshot_next);
        reader.read("snapshot_time_us", snapshot.snapshot_time);
        reader.read("sections", snapshot.sections);
        reader.read("history", snapshot.history);
        if (!reader.good()) {
            return malformed("snapshot record lacks a member or has one of another type");
        }
        return config_record(std::move(snapshot));
    }
    return malformed("configuration record has an unknown type");
}

} // namespace cactusloom
