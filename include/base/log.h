#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>

namespace cactusloom {

// What a log line is about.
enum class log_scope {
    instance, // the state of this process
    request,  // a single job or task
};

// At 20 us a line (docs/MEASUREMENTS.md) this is less than 1 % of a core.
inline constexpr std::uint32_t max_log_lines_per_second = 400;
// A flood of lines about requests must not displace those that explain it.
inline constexpr std::uint32_t max_request_log_lines_per_second = 300;

// Takes a line from this second's limit. Returns false, and counts the line as dropped, if the
// limit is reached.
bool reserve_log_line(log_scope scope);

// Text with its control characters replaced by \xNN, as two hexadecimal digits.
std::string escape_control_characters(std::string_view text);

// Writes one key=value line to standard output without ever blocking. If the pipe is full, the line
// is dropped and counted; the next line that is written is preceded by the count.
void write_log_line(std::string_view event, std::string_view fields);

// Makes standard output nonblocking. Without this call a full pipe would block the process.
void make_log_nonblocking();

// Number of lines dropped since the process started.
std::uint64_t dropped_log_lines();

// Formats the fields of a log line, for example log_event("listening", "port={}", port).
template<typename... Args>
void log_event(std::string_view event, fmt::format_string<Args...> format, Args&&... args)
{
    if (reserve_log_line(log_scope::instance)) {
        write_log_line(event, fmt::format(format, std::forward<Args>(args)...));
    }
}

// Does the same for a line about a single job or task.
template<typename... Args>
void log_request_event(std::string_view event, fmt::format_string<Args...> format, Args&&... args)
{
    if (reserve_log_line(log_scope::request)) {
        write_log_line(event, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace cactusloom
