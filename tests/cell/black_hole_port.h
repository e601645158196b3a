#pragma once

#include <arpa/inet.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <cstdint>
#include <sys/socket.h>
#include <unistd.h>

namespace cactusloom {

// A port that never completes a TCP handshake, like that of a machine without power, because its
// backlog of connections is full.
class black_hole_port {
public:
    explicit black_hole_port(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        BOOST_REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(listen(listener_, 0) == 0);
        for (auto& it : fillers_) {
            it = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const int ec = connect(it, reinterpret_cast<sockaddr*>(&address), sizeof(address));
            BOOST_REQUIRE((ec == 0 || errno == EINPROGRESS));
        }
    }

    ~black_hole_port()
    {
        close(listener_);
        for (const int it : fillers_) {
            close(it);
        }
    }
    black_hole_port(const black_hole_port&) = delete;
    black_hole_port& operator=(const black_hole_port&) = delete;

private:
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::array<int, 4> fillers_{};
};

} // namespace cactusloom
