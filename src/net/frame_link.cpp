#include "net/frame_link.h"

#include <array>

namespace cactusloom {

namespace {

constexpr std::size_t length_bytes = 4;

std::size_t read_length(std::string_view text)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        n = (n << 8U) | static_cast<unsigned char>(text[i]);
    }
    return n;
}

} // namespace

frame_link::frame_link(std::shared_ptr<tcp_stream> stream) : stream_(std::move(stream))
{
    stream_->on_connected = [this] {
        if (on_connected) {
            on_connected();
        }
    };
    stream_->on_data = [this](std::string_view data) { receive(data); };
    stream_->on_closed = [this] {
        if (on_closed) {
            on_closed();
        }
    };
}

frame_link::~frame_link()
{
    stream_->on_connected = nullptr;
    stream_->on_data = nullptr;
    stream_->on_closed = nullptr;
    stream_->close();
}

void frame_link::send(std::string_view message)
{
    const auto n = static_cast<std::uint32_t>(message.size());
    const std::array<char, length_bytes> length = {
        static_cast<char>(n >> 24U), static_cast<char>(n >> 16U), static_cast<char>(n >> 8U),
        static_cast<char>(n)};
    stream_->write(std::string_view(length.data(), length.size()));
    stream_->write(message);
}

void frame_link::receive(std::string_view data)
{
    input_.append(data);
    std::size_t begin = 0;
    while (input_.size() - begin >= length_bytes) {
        const auto n = read_length(std::string_view(input_).substr(begin));
        if (n > max_frame_bytes) {
            stream_->close();
            if (on_closed) {
                on_closed();
            }
            return;
        }
        if (input_.size() - begin - length_bytes < n) {
            break;
        }
        if (on_message) {
            on_message(std::string_view(input_).substr(begin + length_bytes, n));
        }
        begin += length_bytes + n;
    }
    input_.erase(0, begin);
}

} // namespace cactusloom
