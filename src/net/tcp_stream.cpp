#include "net/tcp_stream.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cactusloom {

namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t read_chunk = 16384;
// Limits the work for one connection per loop iteration; level-triggered events bring the rest.
constexpr int max_reads_per_event = 4;
// The kernel closes a connection whose peer acknowledges nothing for this time, for example after a
// power failure.
constexpr int user_timeout_ms = 3000;

std::optional<sockaddr_in> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::string host(text.substr(0, colon));
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (ec != std::errc{} || end != port_text.data() + port_text.size() ||
        inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    address.sin_port = htons(port);
    return address;
}

void set_options(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int timeout = user_timeout_ms;
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace

bool is_socket_address(std::string_view text)
{
    const auto address = parse_address(text);
    return address && address->sin_port != 0;
}

result<std::shared_ptr<tcp_stream>> tcp_stream::connect(poller& events, std::string_view text)
{
    const auto address = parse_address(text);
    if (!address) {
        return failure(errc::invalid_argument, fmt::format("\"{}\" is not an ip:port", text));
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return failure(errc::unavailable,
                       fmt::format("cannot create a socket: {}", std::strerror(errno)));
    }
    set_options(descriptor);
    const int ec =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
    if (ec != 0 && errno != EINPROGRESS) {
        auto problem = fmt::format("connect to {}: {}", text, std::strerror(errno));
        ::close(descriptor);
        return failure(errc::unavailable, std::move(problem));
    }
    std::shared_ptr<tcp_stream> stream(new tcp_stream(events, descriptor, false));
    stream->watch();
    return stream;
}

std::shared_ptr<tcp_stream> tcp_stream::adopt(poller& events, int descriptor)
{
    set_options(descriptor);
    std::shared_ptr<tcp_stream> stream(new tcp_stream(events, descriptor, true));
    stream->watch();
    return stream;
}

tcp_stream::tcp_stream(poller& events, int descriptor, bool connected)
    : events_(events), descriptor_(descriptor),
      input_events_(connected ? EPOLLIN | EPOLLRDHUP : EPOLLIN), connected_(connected)
{
}

tcp_stream::~tcp_stream()
{
    close();
}

void tcp_stream::watch()
{
    wants_output_ = !connected_;
    events_.add(descriptor_, connected_ ? input_events_ : EPOLLOUT,
                [self = weak_from_this()](std::uint32_t events) {
                    if (const auto it = self.lock()) {
                        it->handle(events);
                    }
                });
}

void tcp_stream::write(std::string_view data)
{
    if (descriptor_ < 0) {
        return;
    }
    output_.append(data);
    if (connected_ && !flush_pending_ && !wants_output_) {
        flush_pending_ = true;
        events_.defer([self = weak_from_this()] {
            if (const auto it = self.lock()) {
                it->flush_pending_ = false;
                it->flush();
            }
        });
    }
}

void tcp_stream::close()
{
    if (descriptor_ >= 0) {
        events_.remove(descriptor_);
        ::close(descriptor_);
        descriptor_ = -1;
        connected_ = false;
    }
}

void tcp_stream::handle(std::uint32_t events)
{
    if (!connected_) {
        int ec = 0;
        socklen_t n = sizeof(ec);
        getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &ec, &n);
        if (ec != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
            fail();
            return;
        }
        connected_ = true;
        wants_output_ = false;
        events_.modify(descriptor_, input_events_);
        if (const auto fn = on_connected) { // a copy: the handler may replace itself
            fn();
        }
        flush();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (descriptor_ >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        read_available(events);
    }
}

void tcp_stream::handle_pending()
{
    pollfd pending{descriptor_, static_cast<short>(connected_ ? POLLIN : POLLOUT), 0};
    if (descriptor_ >= 0 && ::poll(&pending, 1, 0) > 0) {
        handle(static_cast<std::uint32_t>(pending.revents)); // the same values as those of epoll
    }
}

void tcp_stream::read_available(std::uint32_t events)
{
    const bool has_ended = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    std::array<char, read_chunk> buf{};
    for (int i = 0; i < max_reads_per_event && descriptor_ >= 0; ++i) {
        const auto n = recv(descriptor_, buf.data(), buf.size(), 0);
        if (n > 0) {
            if (const auto fn = on_data) {
                fn(std::string_view(buf.data(), static_cast<std::size_t>(n)));
            }
            if (static_cast<std::size_t>(n) == buf.size()) {
                continue;
            }
            if (!has_ended) {
                return;
            }
            flush(); // the peer may still read the answer
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        fail();
        return;
    }
    if (descriptor_ >= 0) {
        events_.handle_again(descriptor_, events);
    }
}

void tcp_stream::flush()
{
    while (descriptor_ >= 0 && sent_ < output_.size()) {
        const auto n =
            send(descriptor_, output_.data() + sent_, output_.size() - sent_, MSG_NOSIGNAL);
        if (n > 0) {
            sent_ += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        fail();
        return;
    }
    if (descriptor_ < 0) {
        return;
    }
    const bool pending = sent_ < output_.size();
    if (!pending) {
        output_.clear();
        sent_ = 0;
    }
    if (pending != wants_output_) {
        wants_output_ = pending;
        events_.modify(descriptor_, pending ? input_events_ | EPOLLOUT : input_events_);
    }
}

void tcp_stream::fail()
{
    const auto self = shared_from_this(); // on_closed may drop the last owner
    close();
    if (const auto fn = on_closed) {
        fn();
    }
}

result<std::unique_ptr<tcp_listener>> tcp_listener::listen(poller& events, std::string_view text,
                                                           accept_handler on_accept)
{
    const auto address = parse_address(text);
    if (!address) {
        return failure(errc::invalid_argument, fmt::format("\"{}\" is not an ip:port", text));
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (descriptor < 0 || setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(descriptor, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        auto problem = fmt::format("listen on {}: {}", text, std::strerror(errno));
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        return failure(errc::unavailable, std::move(problem));
    }
    return std::unique_ptr<tcp_listener>(
        new tcp_listener(events, descriptor, std::move(on_accept)));
}

tcp_listener::tcp_listener(poller& events, int descriptor, accept_handler on_accept)
    : events_(events), descriptor_(descriptor), on_accept_(std::move(on_accept))
{
    events_.add(descriptor_, EPOLLIN, [this](std::uint32_t) {
        constexpr int max_accepts_per_event = 64;
        for (int i = 0; i < max_accepts_per_event; ++i) {
            const int accepted =
                accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            on_accept_(tcp_stream::adopt(events_, accepted));
        }
        events_.handle_again(descriptor_, EPOLLIN);
    });
}

tcp_listener::~tcp_listener()
{
    events_.remove(descriptor_);
    ::close(descriptor_);
}

int tcp_listener::port() const
{
    sockaddr_in address{};
    socklen_t n = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &n);
    return ntohs(address.sin_port);
}

} // namespace cactusloom
