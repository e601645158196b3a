#include "stand_in/log_link.h"

namespace cactusloom {

void log_link::append(std::string_view stream, std::string content, append_callback done)
{
    if (*cut_off_) {
        return;
    }
    bytes_sent_ += content.size();
    log_.append(stream, std::move(content),
                [cut_off = cut_off_, done = std::move(done)](result<log_offset> reply) {
                    if (!*cut_off) {
                        done(std::move(reply));
                    }
                });
}

void log_link::read(std::string_view stream, log_offset from, std::size_t max_records,
                    read_callback done)
{
    if (*cut_off_) {
        return;
    }
    log_.read(stream, from, max_records,
              [cut_off = cut_off_, received = bytes_received_,
               done = std::move(done)](result<log_page> reply) {
                  if (*cut_off) {
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
