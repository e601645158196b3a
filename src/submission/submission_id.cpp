#include "submission/submission_id.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace cactusloom {
namespace {

constexpr std::size_t checksum_digits = 12;
constexpr std::size_t field_count = 5;

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
}

// Escapes characters that are unsafe in a URL or separate fields as '_' and two hex digits.
void append_escaped(std::string& out, std::string_view name)
{
    for (const char c : name) {
        if (is_unreserved(c)) {
            out.push_back(c);
        }
        else {
            fmt::format_to(std::back_inserter(out), "_{:02x}", static_cast<unsigned char>(c));
        }
    }
}

template<typename Number>
std::optional<Number> parse_hex(std::string_view text)
{
    Number value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> unescape(std::string_view text)
{
    std::string name;
    name.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (is_unreserved(text[n])) {
            name.push_back(text[n]);
            continue;
        }
        const auto code = text[n] == '_' && n + 2 < text.size()
                              ? parse_hex<unsigned char>(text.substr(n + 1, 2))
                              : std::nullopt;
        if (!code) {
            return std::nullopt;
        }
        name.push_back(static_cast<char>(*code));
        n += 2;
    }
    return name;
}

std::uint64_t checksum(std::string_view text, std::uint64_t key)
{
    return hash64(text, key) >> (64U - 4U * checksum_digits);
}

} // namespace

std::string make_prefix(const submission_prefix& prefix, std::uint64_t key)
{
    std::string text;
    text.reserve(prefix.instance.size() + prefix.data_centre.size() + 48);
    append_escaped(text, prefix.instance);
    text.push_back('~');
    append_escaped(text, prefix.data_centre);
    fmt::format_to(std::back_inserter(text), "~{:x}~{:x}", prefix.incarnation,
                   prefix.issued.time_since_epoch().count());
    fmt::format_to(std::back_inserter(text), "~{:012x}", checksum(text, key));
    return text;
}

result<submission_prefix> parse_prefix(std::string_view text, std::uint64_t key)
{
    const auto malformed = [] {
        return failure(errc::invalid_argument, "malformed submission id prefix");
    };
    if (text.size() > max_submission_id_length) {
        return malformed();
    }
    std::array<std::string_view, field_count> fields;
    std::string_view rest = text;
    for (std::size_t n = 0; n < field_count; ++n) {
        const auto end = rest.find('~');
        if ((end == std::string_view::npos) != (n + 1 == field_count)) {
            return malformed();
        }
        fields[n] = rest.substr(0, end);
        rest.remove_prefix(std::min(rest.size(), fields[n].size() + 1));
    }
    const auto sum = parse_hex<std::uint64_t>(fields[4]);
    if (!sum || fields[4].size() != checksum_digits ||
        *sum != checksum(text.substr(0, text.size() - checksum_digits - 1), key)) {
        return failure(errc::invalid_argument, "checksum of the submission id does not match");
    }
    auto instance = unescape(fields[0]);
    auto data_centre = unescape(fields[1]);
    const auto incarnation = parse_hex<std::uint64_t>(fields[2]);
    const auto issued = parse_hex<duration::rep>(fields[3]);
    if (!instance || !data_centre || !incarnation || !issued) {
        return malformed();
    }
    return submission_prefix{std::move(*instance), std::move(*data_centre), *incarnation,
                             monotonic_time{duration{*issued}}};
}

result<submission_id> parse_submission_id(std::string_view text, std::uint64_t key)
{
    const auto dot = text.find('.');
    const auto suffix = dot == std::string_view::npos ? std::string_view{} : text.substr(dot + 1);
    const bool is_safe = std::all_of(suffix.begin(), suffix.end(), [](char c) {
        return is_unreserved(c) || c == '_' || c == '~' || c == '.';
    });
    if (suffix.empty() || suffix.size() > max_suffix_length || !is_safe) {
        return failure(errc::invalid_argument,
                       "submission id needs a prefix, a dot and 1 to 64 URL-safe characters");
    }
    auto prefix = parse_prefix(text.substr(0, dot), key);
    if (!prefix) {
        return std::move(prefix).as_failure();
    }
    return submission_id{std::move(prefix).value(), suffix};
}

} // namespace cactusloom
