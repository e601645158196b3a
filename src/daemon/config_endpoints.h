#pragma once

#include "base/result.h"
#include "config/config_follower.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

// JSON bodies of the configuration endpoints of the caller API.
std::string format_config(const config_follower& follower);
std::string format_config_history(const config_follower& follower);

// Appends the edit in `body` to the log and reports its verdict. `body` must be
// {"id", "author", "section", "base_version", "content"}; error `invalid_argument` otherwise.
void submit_config_edit(config_follower& follower, std::string_view body,
                        std::function<void(result<std::string>)> done);

} // namespace cactusloom
