#include "stand_in/partitionable_log.h"

namespace cactusloom {

void partitionable_log::append(std::string_view stream, std::string content, append_callback done)
{
    if (*partitioned_) {
        return;
    }
    bytes_sent_ += content.size();
    log_.append(stream, std::move(content),
                [partitioned = partitioned_, done = std::move(done)](result<log_offset> reply) {
                    if (!*partitioned) {
                        done(std::move(reply));
                    }
                });
}

void partitionable_log::read(std::string_view stream, log_offset from, std::size_t max_records,
                             read_callback done)
{
    if (*partitioned_) {
        return;
    }
    log_.read(stream, from, max_records,
              [partitioned = partitioned_, received = bytes_received_,
               done = std::move(done)](result<log_page> reply) {
                  if (*partitioned) {
                      return;
                  }
                  if (reply) {
                      for (const auto& it : reply.value().records) {
                          *received += it.content.size();
                      }
                  }
                  done(std::move(reply));
              });
}

} // namespace cactusloom
