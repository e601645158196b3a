#include "http/worker_codec.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace cactusloom {
namespace {

struct named_status {
    start_status status;
    const char* name;
};

constexpr std::array<named_status, 8> status_names{{
    {start_status::refused_busy, "refused_busy"},
    {start_status::refused_leaving, "refused_leaving"},
    {start_status::not_sent, "not_sent"},
    {start_status::completed, "completed"},
    {start_status::task_failed, "task_failed"},
    {start_status::lease_lapsed, "lease_lapsed"},
    {start_status::stopped, "stopped"},
    {start_status::reply_lost, "reply_lost"},
}};

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.' || c == '_' || c == '~';
}

} // namespace

std::string percent_encode(std::string_view text)
{
    std::string buf;
    buf.reserve(text.size());
    for (const char c : text) {
        if (is_unreserved(c)) {
            buf.push_back(c);
        }
        else {
            fmt::format_to(std::back_inserter(buf), "%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return buf;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string buf;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            buf.push_back(text[n]);
            continue;
        }
        unsigned value = 0;
        const auto hex = text.substr(n + 1, 2);
        const auto [end, ec] = std::from_chars(hex.data(), hex.data() + hex.size(), value, 16);
        if (hex.size() != 2 || ec != std::errc{} || end != hex.data() + 2) {
            return std::nullopt;
        }
        buf.push_back(static_cast<char>(value));
        n += 2;
    }
    return buf;
}

const char* to_string(start_status status)
{
    for (const auto& it : status_names) {
        if (it.status == status) {
            return it.name;
        }
    }
    return "";
}

std::optional<start_status> parse_start_status(std::string_view text)
{
    for (const auto& it : status_names) {
        // A worker cannot know that its own reply was lost or the request was not sent.
        if (it.name == text && it.status != start_status::reply_lost &&
            it.status != start_status::not_sent) {
            return it.status;
        }
    }
    return std::nullopt;
}

std::string format_load(const worker_load& load)
{
    return fmt::format("{} {} {}", load.running, load.queued, load.leaving ? 1 : 0);
}

std::optional<worker_load> parse_load(std::string_view text)
{
    std::array<unsigned, 3> numbers{};
    const char* at = text.data();
    const char* end = text.data() + text.size();
    for (std::size_t n = 0; n < numbers.size(); ++n) {
        if (n > 0 && (at == end || *at++ != ' ')) {
            return std::nullopt;
        }
        const auto [next, ec] = std::from_chars(at, end, numbers[n]);
        if (ec != std::errc{} || numbers[n] > UINT16_MAX) {
            return std::nullopt;
        }
        at = next;
    }
    if (at != end || numbers[2] > 1) {
        return std::nullopt;
    }
    return worker_load{static_cast<std::uint16_t>(numbers[0]),
                       static_cast<std::uint16_t>(numbers[1]), numbers[2] == 1};
}

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data(), end, value);
    if (text.empty() || ec != std::errc{} || next != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace cactusloom
