#pragma once

#include "base/result.h"

#include <functional>
#include <string>
#include <vector>

namespace cactusloom {

// An entry instance in the platform's list. The list may be out of date.
struct listed_instance {
    std::string name;
    std::string data_centre;
    std::string address; // "ip:port" of the caller API, also used by peers
    bool leaving = false;
};

// The platform's list of entry instances.
class instance_list {
public:
    using callback = std::function<void(result<std::vector<listed_instance>>)>;

    instance_list() = default;
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    virtual ~instance_list() = default;

    // Reads the current list. `done` runs once, never from inside fetch().
    virtual void fetch(callback done) = 0;
};

} // namespace cactusloom
