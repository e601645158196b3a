#pragma once

#include "platform/worker_client.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cactusloom {

// Headers of the worker protocol; see docs/platform.md. Metadata of a task is sent in headers and
// the payload as the body, so that payloads are neither escaped nor parsed.
namespace worker_header {
inline constexpr const char* task_id = "Task-Id";
inline constexpr const char* kind = "Task-Kind";
inline constexpr const char* lease = "Task-Lease-Us";
inline constexpr const char* time_left = "Task-Time-Left-Us";
inline constexpr const char* status = "Task-Status";
inline constexpr const char* run_time = "Task-Run-Time-Us";
inline constexpr const char* load = "Worker-Load"; // "<running> <queued> <0 or 1 for leaving>"
} // namespace worker_header

// Percent-encodes all but the unreserved characters, for use in a header or path.
std::string percent_encode(std::string_view text);

// Reverses percent_encode; nullopt if the text is malformed.
std::optional<std::string> percent_decode(std::string_view text);

// Name of a status in the worker protocol. Workers never send `reply_lost` and `not_sent`, and the
// parser rejects them.
const char* to_string(start_status status);
std::optional<start_status> parse_start_status(std::string_view text);

std::string format_load(const worker_load& load);
std::optional<worker_load> parse_load(std::string_view text);

// Parses a decimal integer; nullopt if the text is anything else.
std::optional<std::int64_t> parse_number(std::string_view text);

} // namespace cactusloom
