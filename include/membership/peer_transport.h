#pragma once

#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <string>
#include <string_view>

namespace cactusloom {

// Sends JSON-RPC 2.0 requests to other instances and returns their replies.
class peer_transport {
public:
    using callback = std::function<void(result<std::string>)>;

    peer_transport() = default;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    virtual ~peer_transport() = default;

    // Sends `request` to the instance at `address` ("ip:port"). `done` runs exactly once, never
    // from inside send(): with the reply text, or with `timed_out` once `limit` has passed, or
    // with any other error as soon as the loss is known. Nothing is sent a second time.
    virtual void send(std::string_view address, std::string request, duration limit,
                      callback done) = 0;
};

} // namespace cactusloom
