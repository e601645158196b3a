#include "base/log.h"

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace cactusloom {

void write_log_line(std::string_view event, std::string_view fields)
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto ms = now.time_since_epoch().count() % 1000;
    fmt::print(stderr, "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={}{}{}\n",
               fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, event,
               fields.empty() ? "" : " ", fields);
}

} // namespace cactusloom
