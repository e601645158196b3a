#pragma once

#include "platform/log_service.h"

#include <memory>

namespace cactusloom {

// One instance's connection to the log, which can be partitioned independently of the others.
class partitionable_log final : public log_service {
public:
    explicit partitionable_log(log_service& log) : log_(log) {}

    // While partitioned, requests are never answered and replies in flight are lost.
    void set_partitioned(bool partitioned) { *partitioned_ = partitioned; }

    void append(std::string_view stream, std::string content, append_callback done) override;
    void read(std::string_view stream, log_offset from, std::size_t max_records,
              read_callback done) override;

    std::size_t bytes_sent() const { return bytes_sent_; }
    std::size_t bytes_received() const { return *bytes_received_; }

private:
    log_service& log_;
    // Shared with callbacks that may outlive this object.
    std::shared_ptr<bool> partitioned_ = std::make_shared<bool>(false);
    std::shared_ptr<std::size_t> bytes_received_ = std::make_shared<std::size_t>(0);
    std::size_t bytes_sent_ = 0;
};

} // namespace cactusloom
