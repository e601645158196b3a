#pragma once

#include "http/glib_ptr.h"

#include <array>
#include <cstdlib>
#include <gio/gio.h>
#include <string>

namespace cactusloom {

// A caller on plain TCP: sends arbitrary bytes and keeps everything that it receives.
class raw_caller {
public:
    explicit raw_caller(const std::string& address)
    {
        const auto colon = address.rfind(':');
        object_ptr<GSocketAddress> where(g_inet_socket_address_new_from_string(
            address.substr(0, colon).c_str(),
            static_cast<guint>(std::strtoul(address.c_str() + colon + 1, nullptr, 10))));
        socket_.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, nullptr));
        g_socket_connect(socket_.get(), where.get(), nullptr, nullptr);
        g_socket_set_blocking(socket_.get(), FALSE);
    }

    void send(const std::string& text)
    {
        g_socket_send(socket_.get(), text.data(), text.size(), nullptr, nullptr);
    }
    bool received(const std::string& text)
    {
        read();
        return buf_.find(text) != std::string::npos;
    }
    // True after the peer closed the connection.
    bool closed()
    {
        read();
        return closed_;
    }
    void close() { g_socket_close(socket_.get(), nullptr); }
    const std::string& text() const { return buf_; }

private:
    void read()
    {
        std::array<char, 4096> chunk{};
        while (!closed_) {
            glib_error ec;
            const auto size =
                g_socket_receive(socket_.get(), chunk.data(), chunk.size(), nullptr, ec.out());
            if (size > 0) {
                buf_.append(chunk.data(), static_cast<std::size_t>(size));
                continue;
            }
            closed_ = size == 0 || !ec.matches(G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
            return;
        }
    }

    object_ptr<GSocket> socket_;
    std::string buf_;
    bool closed_ = false;
};

} // namespace cactusloom
