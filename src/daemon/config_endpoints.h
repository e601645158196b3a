#pragma once

#include "base/result.h"
#include "config/config_follower.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

// JSON of the configuration endpoints of the caller API.
std::string format_config(const config_follower& follower);
std::string format_config_history(const config_follower& follower);

// Puts the edit in `body` into the log and reports the log's verdict:
// {"id", "author", "section", "base_version", "content"}. Error `invalid_argument` for anything
// else.
void submit_config_edit(config_follower& follower, std::string_view body,
                        std::function<void(result<std::string>)> done);

} // namespace cactusloom
