#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace cactusloom {

// Writes one key=value line to standard output without ever blocking. If the pipe is full or more
// than `max_log_lines_per_second` lines were written in this second, the line is dropped and
// counted; the next line that is written is preceded by the count.
void write_log_line(std::string_view event, std::string_view fields);

// At 20 us a line (docs/MEASUREMENTS.md) this is less than 1 % of a core.
inline constexpr std::uint32_t max_log_lines_per_second = 400;

// Makes standard output nonblocking. Without this call a full pipe would block the process.
void make_log_nonblocking();

// Number of lines dropped since the process started.
std::uint64_t dropped_log_lines();

// Formats the fields of a log line, for example log_event("listening", "port={}", port).
template<typename... Args>
void log_event(std::string_view event, fmt::format_string<Args...> format, Args&&... args)
{
    write_log_line(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cactusloom
