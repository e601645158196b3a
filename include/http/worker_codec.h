#pragma once

#include "platform/worker_client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cactusloom {

// Names of the worker protocol of docs/platform.md. Facts about a task travel in headers and the
// payload is the body, so that payloads are neither escaped nor parsed on the way.
namespace worker_header {
inline constexpr const char* task_id = "Task-Id";
inline constexpr const char* kind = "Task-Kind";
inline constexpr const char* lease = "Task-Lease-Us";
inline constexpr const char* time_left = "Task-Time-Left-Us";
inline constexpr const char* status = "Task-Status";
inline constexpr const char* run_time = "Task-Run-Time-Us";
inline constexpr const char* load = "Worker-Load"; // "<running> <queued> <0 or 1 for leaving>"
} // namespace worker_header

// Percent-encodes all but the unreserved characters, so that a text is safe in a header or path.
std::string percent_encode(std::string_view text);

// Undoes percent_encode; nothing if the text is not valid.
std::optional<std::string> percent_decode(std::string_view text);

// Name of a status as workers send it. `reply_lost` and `not_sent` are never sent.
const char* to_string(start_status status);
std::optional<start_status> parse_start_status(std::string_view text);

std::string format_load(const worker_load& load);
std::optional<worker_load> parse_load(std::string_view text);

// Reads a whole number of decimal digits; nothing for any other text.
std::optional<std::int64_t> parse_number(std::string_view text);

} // namespace cactusloom
