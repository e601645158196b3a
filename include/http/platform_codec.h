#pragma once

#include "platform/instance_list.h"
#include "platform/log_service.h"

#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// JSON texts of the log and the list, as docs/platform.md describes them. Parsing errors are
// `invalid_argument`.
std::string format_offset(log_offset offset);
result<log_offset> parse_offset(std::string_view text);

std::string format_page(const log_page& page);
result<log_page> parse_page(std::string_view text);

std::string format_instances(const std::vector<listed_instance>& instances);
result<std::vector<listed_instance>> parse_instances(std::string_view text);

// Error reply of the log: the code says whether a record may have been stored.
std::string format_platform_error(const error& reason);
// The error in the text, or one of code `internal` if there is none.
error parse_platform_error(std::string_view text);

} // namespace cactusloom
