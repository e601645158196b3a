#pragma once

#include "base/result.h"
#include "net/poller.h"

#include <memory>
#include <string>
#include <string_view>

namespace cactusloom {

// True if the text is an IPv4 address with a port, "ip:port".
bool is_socket_address(std::string_view text);

// A nonblocking TCP connection. Callbacks run on the event loop; on_closed is the last one. The
// poller holds only a weak reference: the owners keep the stream alive.
class tcp_stream final : public std::enable_shared_from_this<tcp_stream> {
public:
    // Starts connecting to "ip:port". Error `invalid_argument`: not an IPv4 address with a port;
    // `unavailable`: no file descriptor left, or the connect failed immediately.
    static result<std::shared_ptr<tcp_stream>> connect(poller& events, std::string_view address);

    // Takes ownership of an accepted socket.
    static std::shared_ptr<tcp_stream> adopt(poller& events, int descriptor);

    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    // Queues bytes. They are sent before the loop blocks again, or once the connection is
    // established.
    void write(std::string_view data);

    // Handles at once what the event loop would handle at its next iteration: an established
    // connection, received bytes or a close.
    void handle_pending();

    // Closes the connection and discards queued bytes. on_closed is not called.
    void close();

    bool is_open() const { return descriptor_ >= 0; }
    bool is_connected() const { return connected_; }

    // Queued bytes that the kernel has not accepted yet.
    std::size_t unsent() const { return output_.size() - sent_; }

    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_data;
    std::function<void()> on_closed;

private:
    tcp_stream(poller& events, int descriptor, bool connected);

    void watch();
    void handle(std::uint32_t events);
    void read_available(std::uint32_t events);
    void flush();
    void fail();

    poller& events_;
    int descriptor_;
    // Accepted connections report their end together with the last data, so that it is read in the
    // same loop iteration.
    std::uint32_t input_events_;
    bool connected_;
    bool flush_pending_ = false;
    bool wants_output_ = false;
    std::string output_;
    std::size_t sent_ = 0;
};

// Listens on "ip:port" and passes each accepted connection to a handler.
class tcp_listener {
public:
    using accept_handler = std::function<void(std::shared_ptr<tcp_stream>)>;

    static result<std::unique_ptr<tcp_listener>> listen(poller& events, std::string_view address,
                                                        accept_handler on_accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    // Bound port; chosen by the kernel if port 0 was requested.
    int port() const;

private:
    tcp_listener(poller& events, int descriptor, accept_handler on_accept);

    poller& events_;
    int descriptor_;
    accept_handler on_accept_;
};

} // namespace cactusloom
