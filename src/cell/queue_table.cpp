#include "cell/queue_table.h"

namespace cactusloom {

const queue_route* queue_table::find(std::string_view host, std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    const queue_route* best = nullptr;
    for (const auto& it : routes) {
        if (it.host == host && path.starts_with(it.path_prefix) &&
            (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace cactusloom
