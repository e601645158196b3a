#pragma once

#include "base/result.h"
#include "platform/log_service.h"

#include <string>
#include <string_view>

namespace cactusloom {

// One line of an archive, without its line end: offset, time and content of a log record.
std::string encode_archive_line(const log_record& record);
result<log_record> decode_archive_line(std::string_view line);

} // namespace cactusloom
