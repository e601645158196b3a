#pragma once

#include "base/result.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace cactusloom {

// Parses a complete JSON text. Duplicate keys, trailing characters and deep nesting are errors.
result<Json::Value> parse_json(std::string_view text);

// Writes JSON without whitespace.
std::string write_json(const Json::Value& value);

} // namespace cactusloom
