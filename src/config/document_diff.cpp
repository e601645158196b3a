#include "config/document_diff.h"

#include "config/document.h"

#include <algorithm>
#include <fmt/format.h>

namespace cactusloom {
namespace {

using lines = std::vector<std::string_view>;
using side = line_change::side;

lines split_lines(std::string_view text)
{
    lines all;
    while (!text.empty()) {
        const auto eol = text.find('\n');
        all.push_back(text.substr(0, eol));
        text.remove_prefix(eol == std::string_view::npos ? text.size() : eol + 1);
    }
    return all;
}

// Lengths of the longest common subsequences of all suffixes, row by row.
class suffix_table {
public:
    suffix_table(std::span<const std::string_view> a, std::span<const std::string_view> b)
        : width_(b.size() + 1), cells_((a.size() + 1) * width_)
    {
        for (auto i = a.size(); i-- > 0;) {
            for (auto j = b.size(); j-- > 0;) {
                cells_[i * width_ + j] =
                    a[i] == b[j] ? at(i + 1, j + 1) + 1 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    std::uint32_t at(std::size_t i, std::size_t j) const { return cells_[i * width_ + j]; }

private:
    std::size_t width_;
    std::vector<std::uint32_t> cells_;
};

} // namespace

std::vector<line_change> diff_lines(std::string_view before, std::string_view after)
{
    const auto old_lines = split_lines(before);
    const auto new_lines = split_lines(after);
    std::span<const std::string_view> a(old_lines);
    std::span<const std::string_view> b(new_lines);
    std::size_t start = 0;
    while (start < a.size() && start < b.size() && a[start] == b[start]) {
        ++start;
    }
    a = a.subspan(start);
    b = b.subspan(start);
    while (!a.empty() && !b.empty() && a.back() == b.back()) {
        a = a.first(a.size() - 1);
        b = b.first(b.size() - 1);
    }
    std::vector<line_change> changes;
    const auto add = [&](side what, std::size_t at, std::string_view text) {
        changes.push_back(
            {what, "", static_cast<std::uint32_t>(start + at + 1), std::string(text)});
    };
    std::size_t i = 0;
    std::size_t j = 0;
    constexpr std::size_t max_cells = 1'000'000;
    if (!a.empty() && !b.empty() && a.size() * b.size() <= max_cells) {
        const suffix_table common(a, b);
        while (i < a.size() && j < b.size()) {
            if (a[i] == b[j]) {
                ++i;
                ++j;
            }
            else if (common.at(i + 1, j) >= common.at(i, j + 1)) {
                add(side::removed, i, a[i]);
                ++i;
            }
            else {
                add(side::added, j, b[j]);
                ++j;
            }
        }
    }
    for (; i < a.size(); ++i) {
        add(side::removed, i, a[i]);
    }
    for (; j < b.size(); ++j) {
        add(side::added, j, b[j]);
    }
    return changes;
}

std::vector<line_change> diff_documents(const document& before, const document& after)
{
    std::vector<line_change> all;
    for (const auto section : document_sections()) {
        for (auto& it : diff_lines(before.section_text(section), after.section_text(section))) {
            it.section = section;
            all.push_back(std::move(it));
        }
    }
    return all;
}

std::string to_string(std::span<const line_change> changes)
{
    std::string text;
    for (const auto& it : changes) {
        fmt::format_to(std::back_inserter(text), "{}{}{}: {}{}\n", it.section,
                       it.section.empty() ? "" : ":", it.line, it.what == side::removed ? '-' : '+',
                       it.text);
    }
    return text;
}

} // namespace cactusloom
