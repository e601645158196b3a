#include "http/json_fields.h"

#include <limits>
#include <optional>

namespace cactusloom {

namespace {

const Json::Value& null_value()
{
    return Json::Value::nullSingleton();
}

// The range is checked before the conversion, which is undefined for other values.
std::optional<std::int64_t> find_integer(const Json::Value& value, value_range<std::int64_t> range)
{
    if (value.isInt64()) {
        const auto n = value.asInt64();
        return n >= range.least && n <= range.most ? std::optional(n) : std::nullopt;
    }
    if (value.isDouble() && value.asDouble() >= static_cast<double>(range.least) &&
        value.asDouble() <= static_cast<double>(range.most)) {
        return static_cast<std::int64_t>(value.asDouble());
    }
    return std::nullopt;
}

} // namespace

std::int64_t integer_of(const Json::Value& value, value_range<std::int64_t> range,
                        std::int64_t otherwise)
{
    return find_integer(value, range).value_or(otherwise);
}

std::string text_of(const Json::Value& value)
{
    return value.isString() ? value.asString() : std::string();
}

json_fields::json_fields(const Json::Value& value) : value_(value.isObject() ? value : null_value())
{
}

void json_fields::note_defect(const char* name)
{
    if (defect_.empty()) {
        defect_ = name;
    }
}

const Json::Value& json_fields::value(const char* name) const
{
    const auto* found =
        value_.isObject() ? value_.find(name, name + std::string_view(name).size()) : nullptr;
    return found == nullptr ? null_value() : *found;
}

bool json_fields::has(const char* name) const
{
    return !value(name).isNull();
}

std::string json_fields::text(const char* name)
{
    const auto& it = value(name);
    if (!it.isNull() && !it.isString()) {
        note_defect(name);
    }
    return text_of(it);
}

std::int64_t json_fields::integer(const char* name, value_range<std::int64_t> range,
                                  std::int64_t otherwise)
{
    const auto found = find_integer(value(name), range);
    if (!found && has(name)) {
        note_defect(name);
    }
    return found.value_or(otherwise);
}

std::uint32_t json_fields::count(const char* name, std::uint32_t otherwise)
{
    return static_cast<std::uint32_t>(
        integer(name, {0, std::numeric_limits<std::uint32_t>::max()}, otherwise));
}

std::uint64_t json_fields::number(const char* name, std::uint64_t otherwise)
{
    const auto& it = value(name);
    if (!it.isNull() && !it.isUInt64()) {
        note_defect(name);
    }
    return it.isUInt64() ? it.asUInt64() : otherwise;
}

double json_fields::real(const char* name, value_range<double> range, double otherwise)
{
    const auto& it = value(name);
    if (it.isNumeric() && it.asDouble() >= range.least && it.asDouble() <= range.most) {
        return it.asDouble();
    }
    if (!it.isNull()) {
        note_defect(name);
    }
    return otherwise;
}

bool json_fields::flag(const char* name)
{
    const auto& it = value(name);
    if (!it.isNull() && !it.isBool()) {
        note_defect(name);
    }
    return it.isBool() && it.asBool();
}

duration json_fields::span(const char* name, duration unit, duration otherwise)
{
    const auto n = integer(name, any_amount, -1);
    return n < 0 ? otherwise : n * unit;
}

const Json::Value& json_fields::array(const char* name)
{
    static const Json::Value no_elements(Json::arrayValue);
    const auto& it = value(name);
    if (it.isArray()) {
        return it;
    }
    if (!it.isNull()) {
        note_defect(name);
    }
    return no_elements;
}

} // namespace cactusloom
