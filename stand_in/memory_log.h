#pragma once

#include "base/timer_service.h"
#include "platform/log_service.h"

#include <deque>
#include <map>
#include <string>

namespace cactusloom {

// In-memory log of the platform with the faults of the real one. A request takes effect after half
// of its latency and is answered after all of it, never from inside the call. The timer service
// must outlive the log, and the log must outlive its unanswered requests.
class memory_log final : public log_service {
public:
    explicit memory_log(timer_service& timers) : timers_(timers) {}

    void append(std::string_view stream, std::string content, append_callback done) override;
    void read(std::string_view stream, log_offset from, std::size_t max_records,
              read_callback done) override;

    // Latencies of requests. In reality a synced write takes several ms, a read about one round
    // trip.
    void set_latency(duration append, duration read);

    // Records older than this are deleted at the next request. The default keeps all.
    void set_retention(duration age) { retention_ = age; }

    // While down, requests fail with `unavailable` and have no effect.
    void set_down(bool down) { down_ = down; }

    // While silent, requests have no effect and are never answered.
    void set_silent(bool silent) { silent_ = silent; }

    // The next `n` appends are stored but reported as `reply_lost`.
    void lose_append_replies(std::size_t n) { lost_replies_ = n; }

    // The next `n` appends are reported as `reply_lost` and not stored.
    void lose_append_requests(std::size_t n) { lost_requests_ = n; }

    // Deletes the records before `offset`, as retention does.
    void drop_before(std::string_view stream, log_offset offset);

    // Truncates a stream, so that `end` is the offset of the next append.
    void rewind(std::string_view stream, log_offset end);

    // Overwrites the record at an offset that readers may have read already.
    void replace(std::string_view stream, log_offset offset, std::string content);

    // Returns all stored records immediately.
    log_page page(std::string_view stream) const;

    std::size_t append_count() const { return append_count_; }
    std::size_t read_count() const { return read_count_; }

private:
    struct stream_state {
        std::deque<log_record> records;
        log_offset end = 0;
    };

    stream_state& state_of(std::string_view stream);
    void drop_expired(stream_state& state);
    result<log_offset> store(std::string_view stream, std::string content);
    result<log_page> load(std::string_view stream, log_offset from, std::size_t max_records);

    timer_service& timers_;
    std::map<std::string, stream_state, std::less<>> streams_;
    duration append_latency_ = std::chrono::milliseconds{5};
    duration read_latency_ = std::chrono::milliseconds{1};
    duration retention_ = duration::max();
    bool down_ = false;
    bool silent_ = false;
    std::size_t lost_replies_ = 0;
    std::size_t lost_requests_ = 0;
    std::size_t append_count_ = 0;
    std::size_t read_count_ = 0;
};

} // namespace cactusloom
