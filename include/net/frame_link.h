#pragma once

#include "net/tcp_stream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// Exchanges messages over one TCP connection, each with a 4-byte big-endian length prefix. Messages
// sent in one iteration of the event loop are written together.
class frame_link {
public:
    // Takes ownership of a stream. A received message over `max_frame_bytes` closes the connection.
    explicit frame_link(std::shared_ptr<tcp_stream> stream);
    ~frame_link();
    frame_link(const frame_link&) = delete;
    frame_link& operator=(const frame_link&) = delete;

    void send(std::string_view message);
    bool is_connected() const { return stream_->is_connected(); }
    std::size_t unsent() const { return stream_->unsent(); }

    // Called on the event loop. A handler must not destroy the link.
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_message;
    std::function<void()> on_closed;

    static constexpr std::size_t max_frame_bytes = 4U << 20U;

private:
    void receive(std::string_view data);

    std::shared_ptr<tcp_stream> stream_;
    std::string input_;
};

} // namespace cactusloom
