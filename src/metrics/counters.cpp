#include "metrics/counters.h"

#include <algorithm>

namespace cactusloom {

std::uint64_t& counters::get(std::string_view name)
{
    const auto it = std::find_if(counts_.begin(), counts_.end(),
                                 [name](const auto& count) { return count.first == name; });
    if (it != counts_.end()) {
        return it->second;
    }
    return counts_.emplace_back(std::string{name}, 0).second;
}

} // namespace cactusloom
