#pragma once

#include "config/deployment.h"

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// An error in a configuration document. The line counts from 1; it is 0 if something is missing
// from the document and has no line.
struct finding {
    std::string section;
    std::string key; // path inside the section, for example "list[3].address"
    std::uint32_t line = 0;
    std::string message;

    bool operator==(const finding&) const = default;
};

// Either a value or all errors of the document, a list that is never empty.
template<typename T>
using checked =
    boost::outcome_v2::basic_result<T, std::vector<finding>, boost::outcome_v2::policy::terminate>;

// Names of all top-level sections in the order in which a composed document has them. Every
// document has each of them once.
std::span<const std::string_view> document_sections();

// Parses and checks a whole document. Nothing is taken from a document with findings.
checked<deployment> parse_document(std::string_view text);

// One line a finding, "line 12: workers: list[3].address: message".
std::string to_string(std::span<const finding> findings);

} // namespace cactusloom
