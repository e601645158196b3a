#pragma once

#include "base/result.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace cactusloom {

// Parses a complete JSON text. Duplicate keys, trailing characters and deep nesting are errors.
result<Json::Value> parse_json(std::string_view text);

// The same for a text whose value is an object; any other value is an error.
result<Json::Value> parse_json_object(std::string_view text);

// Writes JSON without whitespace.
std::string write_json(const Json::Value& value);

} // namespace cactusloom
