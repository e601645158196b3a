#include "account/account_record_codec.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <iterator>
#include <json/json.h>
#include <limits>
#include <memory>

namespace cactusloom {
namespace {

constexpr int format_version = 1;

std::int64_t to_us(wall_time time)
{
    return time.time_since_epoch().count();
}

wall_time from_us(std::int64_t us)
{
    return wall_time{duration{us}};
}

// Writes a JSON string directly: building a value tree for every record takes several times the
// CPU time.
void append_text(std::string& out, std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
        return c >= 0x20 && c < 0x7f && c != '"' && c != '\\';
    });
    if (plain) {
        out += '"';
        out += text;
        out += '"';
    }
    else {
        static const auto builder = [] {
            Json::StreamWriterBuilder it;
            it["indentation"] = "";
            it["emitUTF8"] = true;
            return it;
        }();
        out += Json::writeString(builder, Json::Value(text.data(), text.data() + text.size()));
    }
}

template<typename... Args>
void append(std::string& out, fmt::format_string<Args...> format, Args&&... args)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<Args>(args)...);
}

void append_receipt(std::string& out, char kind, const account_receipt& it, std::int64_t base)
{
    out += "[\"";
    out += kind;
    out += "\",";
    append_text(out, it.submission_id);
    out += ',';
    append_text(out, it.customer);
    out += ',';
    append_text(out, it.kind);
    append(out, ",{},{}", it.tasks, to_us(it.received) - base);
}

bool is_count(const Json::Value& value)
{
    return value.isUInt();
}

std::optional<account_receipt> to_receipt(const Json::Value& line, std::int64_t base)
{
    if (line.size() < 6 || !line[1].isString() || !line[2].isString() || !line[3].isString() ||
        !is_count(line[4]) || !line[5].isInt64()) {
        return std::nullopt;
    }
    return account_receipt{line[2].asString(), line[1].asString(), line[3].asString(),
                           line[4].asUInt(), from_us(base + line[5].asInt64())};
}

bool to_workers(const Json::Value& list, const Json::Value& names, std::vector<worker_use>& out)
{
    if (!list.isArray()) {
        return false;
    }
    for (const auto& it : list) {
        const bool has_count = it.isArray() && it.size() == 2 && is_count(it[1]);
        const auto& index = has_count ? it[0] : it;
        if (!is_count(index) || index.asUInt() >= names.size()) {
            return false;
        }
        out.push_back({names[index.asUInt()].asString(), has_count ? it[1].asUInt() : 1});
    }
    return true;
}

std::optional<account_record> to_end(const Json::Value& line, std::int64_t base,
                                     const Json::Value& names)
{
    const auto receipt = to_receipt(line, base);
    if (!receipt || line.size() != 13 || !line[6].isInt64() || !line[7].isInt64() ||
        !is_count(line[9]) || line[9].asUInt() > static_cast<unsigned>(account_outcome::unknown) ||
        !line[10].isString() || !line[11].isUInt64() || !line[12].isArray() ||
        line[12].size() != 2 || !is_count(line[12][0]) || !is_count(line[12][1])) {
        return std::nullopt;
    }
    account_record it;
    it.receipt = *receipt;
    it.decided = it.receipt.received + duration{line[6].asInt64()};
    it.answered = it.receipt.received + duration{line[7].asInt64()};
    it.outcome = static_cast<account_outcome>(line[9].asUInt());
    it.reason = line[10].asString();
    it.configuration_version = line[11].asUInt64();
    it.answers = line[12][0].asUInt();
    it.second_starts = line[12][1].asUInt();
    if (!to_workers(line[8], names, it.workers)) {
        return std::nullopt;
    }
    return it;
}

std::optional<Json::Value> parse(std::string_view text)
{
    static const auto builder = [] {
        Json::CharReaderBuilder it;
        it["stackLimit"] = 8;
        it["failIfExtra"] = true;
        return it;
    }();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem)) {
            return std::nullopt;
        }
    }
    catch (const Json::Exception&) {
        // jsoncpp throws when the stack limit is exceeded.
        return std::nullopt;
    }
    return value;
}

bool decode_header(const Json::Value& header, account_batch& batch)
{
    if (!header.isObject() || header["v"] != format_version || !header["i"].isString() ||
        !header["n"].isUInt64() || !header["b"].isUInt64() || !header["t"].isInt64() ||
        !header["s"].isInt64() || !header["w"].isArray()) {
        return false;
    }
    for (const auto& name : header["w"]) {
        if (!name.isString()) {
            return false;
        }
    }
    batch.instance = header["i"].asString();
    batch.incarnation = header["n"].asUInt64();
    batch.number = header["b"].asUInt64();
    batch.written = from_us(header["t"].asInt64());
    batch.watermark = batch.written + duration{header["s"].asInt64()};
    batch.is_last = header["last"].isInt() && header["last"].asInt() == 1;
    if (header.isMember("gap")) {
        const auto& gap = header["gap"];
        if (!gap.isArray() || gap.size() != 3 || !gap[0].isUInt64() || !gap[1].isInt64() ||
            !gap[2].isInt64()) {
            return false;
        }
        batch.dropped = dropped_records{gap[0].asUInt64(), from_us(gap[1].asInt64()),
                                        from_us(gap[2].asInt64())};
    }
    return true;
}

} // namespace

account_batch_encoder::account_batch_encoder(const account_batch& header) : header_(header)
{
    header_bytes_ += header.instance.size();
}

std::size_t account_batch_encoder::worker_index(const std::string& name)
{
    const auto [it, is_new] = indexes_.emplace(name, names_.size());
    if (is_new) {
        names_.push_back(name);
        names_bytes_ += name.size() + 3;
    }
    return it->second;
}

void account_batch_encoder::add(const account_receipt& it)
{
    append_receipt(lines_, 'r', it, to_us(header_.written));
    lines_ += "]\n";
}

void account_batch_encoder::add(const account_record& it)
{
    append_receipt(lines_, 'e', it.receipt, to_us(header_.written));
    const auto since = [&](wall_time time) { return (time - it.receipt.received).count(); };
    append(lines_, ",{},{},[", since(it.decided), since(it.answered));
    bool first = true;
    for (const auto& use : it.workers) {
        if (!first) {
            lines_ += ',';
        }
        first = false;
        if (use.starts == 1) {
            append(lines_, "{}", worker_index(use.worker));
        }
        else {
            append(lines_, "[{},{}]", worker_index(use.worker), use.starts);
        }
    }
    append(lines_, "],{},", static_cast<unsigned>(it.outcome));
    append_text(lines_, it.reason);
    append(lines_, ",{},[{},{}]]\n", it.configuration_version, it.answers, it.second_starts);
}

std::string account_batch_encoder::finish() &&
{
    std::string text = fmt::format(R"({{"v":{},"i":)", format_version);
    append_text(text, header_.instance);
    append(text, R"(,"n":{},"b":{},"t":{})", header_.incarnation, header_.number,
           to_us(header_.written));
    append(text, R"(,"s":{})", (header_.watermark - header_.written).count());
    if (header_.is_last) {
        text += R"(,"last":1)";
    }
    if (header_.dropped) {
        append(text, R"(,"gap":[{},{},{}])", header_.dropped->count, to_us(header_.dropped->from),
               to_us(header_.dropped->until));
    }
    text += R"(,"w":[)";
    for (std::size_t i = 0; i < names_.size(); ++i) {
        if (i > 0) {
            text += ',';
        }
        append_text(text, names_[i]);
    }
    text += "]}\n";
    text += lines_;
    return text;
}

std::string encode_batch(const account_batch& batch)
{
    account_batch_encoder encoder(batch);
    for (const auto& it : batch.receipts) {
        encoder.add(it);
    }
    for (const auto& it : batch.ends) {
        encoder.add(it);
    }
    return std::move(encoder).finish();
}

result<account_batch> decode_batch(std::string_view text)
{
    account_batch batch;
    Json::Value names;
    std::int64_t base = 0;
    bool has_header = false;
    while (!text.empty()) {
        const auto end = text.find('\n');
        if (end == std::string_view::npos) {
            return failure(errc::invalid_argument, "the last line of the batch is truncated");
        }
        const auto value = parse(text.substr(0, end));
        text.remove_prefix(end + 1);
        if (!value) {
            return failure(errc::invalid_argument, "a line is not JSON");
        }
        if (!has_header) {
            if (!decode_header(*value, batch)) {
                return failure(errc::invalid_argument, "the first line is not a batch header");
            }
            names = (*value)["w"];
            base = to_us(batch.written);
            has_header = true;
            continue;
        }
        if (!value->isArray() || value->empty()) {
            return failure(errc::invalid_argument, "a line is not a record");
        }
        if ((*value)[0] == "r") {
            const auto it = to_receipt(*value, base);
            if (!it || value->size() != 6) {
                return failure(errc::invalid_argument, "a receipt is malformed");
            }
            batch.receipts.push_back(*it);
            continue;
        }
        auto it = (*value)[0] == "e" ? to_end(*value, base, names) : std::nullopt;
        if (!it) {
            return failure(errc::invalid_argument, "a record is malformed");
        }
        batch.ends.push_back(std::move(*it));
    }
    if (!has_header) {
        return failure(errc::invalid_argument, "batch is empty");
    }
    return batch;
}

} // namespace cactusloom
