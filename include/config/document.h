#pragma once

#include "config/document_parser.h"

#include <array>
#include <memory>

namespace cactusloom {

// A valid configuration document: the text of each section and the settings parsed from them. A
// value type; replacing a section gives a new document.
class document {
public:
    static constexpr std::size_t section_count = 9;

    // Lines of findings count from the start of `text`.
    static checked<document> parse(std::string_view text);

    // Composes a document from the text of each section. Lines of findings count from the start of
    // the text of the section that they name.
    static checked<document> from_sections(std::span<const std::string, section_count> texts);

    // Checks the whole document with the text of one section replaced. Lines of findings count from
    // the start of the text of the section that they name.
    checked<document> with_section(std::string_view section, std::string_view text) const;

    const std::shared_ptr<const deployment>& settings() const { return settings_; }

    // The team that may edit the section; empty for an unknown section.
    std::string_view owner_of(std::string_view section) const;

    // The text of a section as its author wrote it; empty for an unknown section.
    std::string_view section_text(std::string_view section) const;

    // The sections one after another.
    std::string text() const;

private:
    // Line numbers of the list entries, for findings of checks across sections.
    struct entry_lines {
        std::vector<std::uint32_t> kinds;
        std::vector<std::uint32_t> workers;
        std::vector<std::uint32_t> teams;
        std::vector<std::uint32_t> customers;
    };

    friend class document_reader;

    std::array<std::string, section_count> texts_;
    std::shared_ptr<const deployment> settings_;
    entry_lines lines_;
};

// Position of a section in document_sections(), or section_count for an unknown one.
std::size_t section_index(std::string_view section);

} // namespace cactusloom
