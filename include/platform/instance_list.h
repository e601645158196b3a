#pragma once

#include "base/result.h"

#include <functional>
#include <string>
#include <vector>

namespace cactusloom {

// An entry instance as the platform lists it. The list lags behind reality.
struct listed_instance {
    std::string name;
    std::string data_centre;
    std::string address; // "ip:port" of the caller API; peers use the same port
    bool leaving = false;
};

class instance_list {
public:
    using callback = std::function<void(result<std::vector<listed_instance>>)>;

    instance_list() = default;
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    virtual ~instance_list() = default;

    virtual void fetch(callback done) = 0;
};

} // namespace cactusloom
