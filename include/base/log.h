#pragma once

#include <fmt/format.h>
#include <string_view>

namespace cactusloom {

// Writes one key=value line to standard error. Lines are for changes of state only; what happens
// per request is counted instead.
void write_log_line(std::string_view event, std::string_view fields);

// Formats the fields of a log line, for example log_event("listening", "port={}", port).
template<typename... Args>
void log_event(std::string_view event, fmt::format_string<Args...> format, Args&&... args)
{
    write_log_line(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cactusloom
