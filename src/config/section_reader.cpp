#include "section_reader.h"

#include <cmath>
#include <fmt/format.h>

namespace cactusloom {

bool is_valid_name(std::string_view text)
{
    constexpr std::size_t max_length = 64;
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '_' || c == '-' || c == '.';
    };
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

const toml::node* section_reader::find(std::string_view key, bool required)
{
    read_keys_.push_back(key);
    const auto* node = table_.get(key);
    if (node == nullptr && required) {
        findings_.push_back({section_, path_ + std::string(key), line(), "is missing"});
    }
    return node;
}

void section_reader::report(std::string_view key, const toml::node& node, std::string message)
{
    findings_.push_back(
        {section_, path_ + std::string(key), node.source().begin.line, std::move(message)});
}

std::uint32_t section_reader::line_of(std::string_view key) const
{
    const auto* node = table_.get(key);
    return node == nullptr ? line() : node->source().begin.line;
}

void section_reader::read_name(std::string_view key, std::string& field, bool required)
{
    if (const auto* node = find(key, required)) {
        const auto value = node->value_exact<std::string>();
        if (value && is_valid_name(*value)) {
            field = *value;
        }
        else {
            report(key, *node, "must be a text of 1 to 64 letters, digits, '_', '-' or '.'");
        }
    }
}

std::optional<std::int64_t> section_reader::read_integer(std::string_view key, std::int64_t low,
                                                         std::int64_t high, bool required)
{
    const auto* node = find(key, required);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high) {
        report(key, *node, fmt::format("must be a whole number from {} to {}", low, high));
        return std::nullopt;
    }
    return value;
}

void section_reader::read(std::string_view key, double& field, double low, double high,
                          bool required)
{
    if (const auto* node = find(key, required)) {
        const auto value = node->is_number() ? node->value<double>() : std::nullopt;
        // The negated comparison also rejects NaN.
        if (!value || !(*value >= low && *value <= high)) {
            report(key, *node, fmt::format("must be a number from {} to {}", low, high));
        }
        else {
            field = *value;
        }
    }
}

void section_reader::read_names(std::string_view key, std::vector<std::string>& field)
{
    const auto* node = find(key, false);
    if (node == nullptr) {
        return;
    }
    const auto* list = node->as_array();
    if (list == nullptr) {
        report(key, *node, "must be a list of texts");
        return;
    }
    for (const auto& it : *list) {
        const auto value = it.value_exact<std::string>();
        if (!value || !is_valid_name(*value)) {
            report(key, it, "must hold texts of 1 to 64 letters, digits, '_', '-' or '.'");
        }
        else if (std::find(field.begin(), field.end(), *value) != field.end()) {
            report(key, it, fmt::format("names {} twice", *value));
        }
        else {
            field.push_back(*value);
        }
    }
}

const toml::array* section_reader::read_list(std::string_view key)
{
    const auto* node = find(key, true);
    if (node == nullptr) {
        return nullptr;
    }
    const auto* list = node->as_array();
    if (list == nullptr) {
        report(key, *node, "must be a list of tables");
    }
    return list;
}

void section_reader::finish()
{
    for (const auto& [key, node] : table_) {
        if (std::find(read_keys_.begin(), read_keys_.end(), key.str()) == read_keys_.end()) {
            findings_.push_back(
                {section_, path_ + std::string(key.str()), key.source().begin.line, "unknown key"});
        }
    }
}

} // namespace cactusloom
