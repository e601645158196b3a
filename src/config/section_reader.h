#pragma once

#include "config/document_parser.h"

#include <algorithm>
#include <concepts>
#include <limits>
#include <toml++/toml.h>

namespace cactusloom {

// Reads the keys of one TOML table into typed fields and collects findings. finish() reports keys
// that were never read as unknown.
class section_reader {
public:
    section_reader(const toml::table& table, std::string section, std::string path,
                   std::vector<finding>& findings)
        : table_(table), section_(std::move(section)), path_(std::move(path)), findings_(findings)
    {
    }

    void read(std::string_view key, bool& field, bool required = false)
    {
        if (const auto* node = find(key, required)) {
            if (const auto value = node->value_exact<bool>()) {
                field = *value;
            }
            else {
                report(key, *node, "must be true or false");
            }
        }
    }

    // A text of 1 to 64 letters, digits, '_', '-' and '.'; such names are safe in logs and paths.
    void read_name(std::string_view key, std::string& field, bool required = true);

    // Any text; the caller checks it.
    void read(std::string_view key, std::string& field, bool required = false)
    {
        if (const auto* node = find(key, required)) {
            if (const auto value = node->value_exact<std::string>()) {
                field = *value;
            }
            else {
                report(key, *node, "must be a text");
            }
        }
    }

    void read(std::string_view key, std::uint32_t& field, std::int64_t low, std::int64_t high,
              bool required = false)
    {
        if (const auto value = read_integer(key, low, high, required)) {
            field = static_cast<std::uint32_t>(*value);
        }
    }

    void read_milliseconds(std::string_view key, duration& field, std::int64_t low,
                           std::int64_t high, bool required = false)
    {
        if (const auto value = read_integer(key, low, high, required)) {
            field = std::chrono::milliseconds{*value};
        }
    }

    void read(std::string_view key, double& field, double low, double high, bool required = false);

    void read_names(std::string_view key, std::vector<std::string>& field);

    // Returns the array of tables under the key, or null after reporting a finding.
    const toml::array* read_list(std::string_view key);

    void finish();

    void report(std::string_view key, const toml::node& node, std::string message);

    std::uint32_t line_of(std::string_view key) const;
    std::uint32_t line() const { return table_.source().begin.line; }

private:
    const toml::node* find(std::string_view key, bool required);
    std::optional<std::int64_t> read_integer(std::string_view key, std::int64_t low,
                                             std::int64_t high, bool required);

    const toml::table& table_;
    std::string section_;
    std::string path_;
    std::vector<finding>& findings_;
    std::vector<std::string_view> read_keys_;
};

// True for a text that section_reader::read_name accepts.
bool is_valid_name(std::string_view text);

} // namespace cactusloom
