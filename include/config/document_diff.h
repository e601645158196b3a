#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

class document;

// A line that only one of two texts has.
struct line_change {
    enum class side { removed, added };

    side what = side::removed;
    std::string section;    // empty in a diff of plain texts
    std::uint32_t line = 0; // in the old section for a removed line, in the new one for an added
    std::string text;
};

// Lines that differ, in the order of the texts. Regions that differ in more than a thousand by a
// thousand lines are reported as replaced as a whole, which bounds the time to a few ms.
std::vector<line_change> diff_lines(std::string_view before, std::string_view after);

// The differences of all sections, in the order of the sections.
std::vector<line_change> diff_documents(const document& before, const document& after);

// One line a change: "workers:12: -text" or "workers:12: +text".
std::string to_string(std::span<const line_change> changes);

} // namespace cactusloom
