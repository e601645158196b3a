#pragma once

#include "platform/instance_list.h"
#include "platform/log_service.h"

#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// JSON bodies of the log and the instance list; see docs/platform.md. Parse errors have code
// `invalid_argument`.
std::string format_offset(log_offset offset);
result<log_offset> parse_offset(std::string_view text);

std::string format_page(const log_page& page);
result<log_page> parse_page(std::string_view text);

std::string format_instances(const std::vector<listed_instance>& instances);
result<std::vector<listed_instance>> parse_instances(std::string_view text);

// Error reply of the log: the code tells whether the record may have been stored.
std::string format_platform_error(const error& reason);
// Returns the error in the text, or one with code `internal` if the text has none.
error parse_platform_error(std::string_view text);

} // namespace cactusloom
