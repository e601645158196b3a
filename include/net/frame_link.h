#pragma once

#include "net/tcp_stream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// Messages over one TCP connection, each preceded by its length (4 bytes, big-endian). Messages
// of one loop turn leave in one write.
class frame_link {
public:
    // Takes over a stream. A message over `max_frame_bytes` ends the link.
    explicit frame_link(std::shared_ptr<tcp_stream> stream);
    ~frame_link();
    frame_link(const frame_link&) = delete;
    frame_link& operator=(const frame_link&) = delete;

    void send(std::string_view message);
    bool is_connected() const { return stream_->is_connected(); }
    std::size_t unsent() const { return stream_->unsent(); }

    // Handlers run on the loop; they must not destroy the link from within.
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
