#pragma once

#include "base/time.h"
#include "config/document_parser.h"
#include "platform/log_service.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// Section name of an edit that contains the first document of a log, with all of its sections.
inline constexpr std::string_view whole_document = "*";

// A record that requests a new text of a section.
struct config_edit {
    std::string id;              // chosen by the author; the same for each repeated append
    std::string author;          // team
    std::string section;         // or whole_document
    log_offset base_version = 0; // version that the author saw; unused for whole_document
    std::string content;         // the whole text of the section
};

enum class edit_verdict {
    accepted,
    stale_base, // another edit of the section came first
    not_owner,
    invalid,
    duplicate, // a repeated append of an edit that has a verdict
};

// Returns the name used in JSON, for example "stale_base".
const char* to_string(edit_verdict verdict);

// Result of one edit, determined by its place in the log.
struct edit_outcome {
    std::string edit_id;
    log_offset offset = 0;
    edit_verdict verdict = edit_verdict::invalid;
    std::vector<finding> findings; // of an invalid edit
    std::string detail;            // what changed, or why not; at most 300 bytes
    // The edit that is in force for the section after this one.
    log_offset current_version = 0;
    std::string current_author;
    std::string current_edit_id;
};

// One entry of the audit history.
struct config_change {
    log_offset offset = 0;
    wall_time time; // assigned by the log
    std::string edit_id;
    std::string author;
    std::string section;
    log_offset base_version = 0;
    edit_verdict verdict = edit_verdict::invalid;
    std::string detail;
    std::uint32_t repeats = 0; // further appends of the same edit

    bool operator==(const config_change&) const = default;
};

// A section in a snapshot.
struct config_section {
    std::string name;
    std::string text;
    log_offset version = 0;
    std::string author;
    std::string edit_id;

    bool operator==(const config_section&) const = default;
};

// The state that later verdicts depend on, determined by the records before offset `next`.
struct config_snapshot {
    log_offset next = 0;
    std::uint64_t last_digest = 0;  // of the record at next - 1
    std::uint64_t chain_digest = 0; // of all records before `next`
    // Newest earlier snapshot record; has_snapshot says whether there is one.
    bool has_snapshot = false;
    log_offset snapshot_offset = 0;
    log_offset snapshot_next = 0; // first offset that it does not cover
    wall_time snapshot_time;
    std::vector<config_section> sections; // in the order of document_sections()
    std::vector<config_change> history;   // oldest first

    bool operator==(const config_snapshot&) const = default;
};

} // namespace cactusloom
