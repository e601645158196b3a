#include "base/log.h"

#include <chrono>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <iterator>
#include <string>
#include <unistd.h>

namespace cactusloom {

namespace {

// Process-wide state; not synchronized because the process is single-threaded.
struct log_output {
    std::uint64_t dropped = 0;
    std::uint64_t reported = 0;
    std::int64_t second = 0;
    std::uint32_t lines_this_second = 0;
    std::uint32_t request_lines_this_second = 0;
};

log_output& output()
{
    static log_output it;
    return it;
}

void append_line(std::string& out, std::chrono::system_clock::time_point now,
                 std::string_view event, std::string_view fields)
{
    const auto ms =
        std::chrono::time_point_cast<std::chrono::milliseconds>(now).time_since_epoch().count();
    fmt::format_to(std::back_inserter(out), "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={}{}{}\n",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms % 1000, event,
                   fields.empty() ? "" : " ", fields);
}

} // namespace

bool reserve_log_line(log_scope scope)
{
    auto& it = output();
    const auto second = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    if (second != it.second) {
        it.second = second;
        it.lines_this_second = 0;
        it.request_lines_this_second = 0;
    }
    const bool about_request = scope == log_scope::request;
    if (it.lines_this_second >= max_log_lines_per_second ||
        (about_request && it.request_lines_this_second >= max_request_log_lines_per_second)) {
        ++it.dropped;
        return false;
    }
    ++it.lines_this_second;
    it.request_lines_this_second += about_request ? 1 : 0;
    return true;
}

std::string escape_control_characters(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    std::string out;
    out.reserve(text.size());
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte < first_printable || byte == del) {
            fmt::format_to(std::back_inserter(out), "\\x{:02x}", byte);
        }
        else {
            out += it;
        }
    }
    return out;
}

void write_log_line(std::string_view event, std::string_view fields)
{
    auto& it = output();
    const auto now = std::chrono::system_clock::now();
    std::string text;
    if (it.dropped != it.reported) {
        append_line(text, now, "log_lines_dropped",
                    fmt::format("lines={}", it.dropped - it.reported));
    }
    // Fields may hold text of other programs; a line end in it would forge a line.
    append_line(text, now, event, escape_control_characters(fields));
    const auto n = write(STDOUT_FILENO, text.data(), text.size());
    if (n == static_cast<ssize_t>(text.size())) {
        it.reported = it.dropped;
    }
    else {
        ++it.dropped;
    }
}

void make_log_nonblocking()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0 && fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) != 0) {
        log_event("log_may_block", "reason=\"cannot make standard output nonblocking\"");
    }
}

std::uint64_t dropped_log_lines()
{
    return output().dropped;
}

} // namespace cactusloom
