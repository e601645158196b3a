#pragma once

#include "base/result.h"
#include "config/config_record.h"

#include <variant>

namespace cactusloom {

using config_record = std::variant<config_edit, config_snapshot>;

// JSON of the records of stream `config`, and of the state that peers exchange.
std::string encode(const config_edit& edit);
std::string encode(const config_snapshot& snapshot);

// Error `invalid_argument` for everything that encode() would not have written.
result<config_record> decode_config_record(std::string_view text);

} // namespace cactusloom
