#pragma once

#include "base/timer_service.h"
#include "cell/keyed_log.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cactusloom {

// Follows one collection: reports each newer value of a key once, and each removal. It starts from
// the newest records and reads on from there. It starts again after the history was deleted, and
// where the records since would be more than the newest of each key.
class keyed_follower {
public:
    struct poll_policy {
        duration wait{};          // a read waits this long at the platform for a record
        duration interval{};      // pause between two reads
        bool newest_only = false; // read the newest of each key instead of all since the last read
    };

    keyed_follower(timer_service& timers, keyed_log& log, keyed_topic topic, poll_policy speed);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;

    // Begins or resumes to read.
    void start();

    // No further read until the next start. What is known stays.
    void pause();

    void set_poll_policy(poll_policy speed) { poll_policy_ = speed; }

    // Reads now instead of after the interval.
    void read_now();

    // Says that the records before this offset are known from elsewhere.
    void skip_to(std::uint64_t offset);

    // When the read that was reported last was sent.
    monotonic_time read_started_at() const { return read_started_at_; }

    // True once the newest records have been read.
    bool is_complete() const { return complete_; }

    // Since when every read has succeeded.
    monotonic_time healthy_since() const { return healthy_since_; }

    // A new value, or null for a removal. Values of a key come in order of their offsets.
    std::function<void(const keyed_record& record)> on_record;
    // After each read that succeeded.
    std::function<void()> on_read;

private:
    void next(duration delay);
    void finish_read();
    void start_read();
    void read_newest(const std::string& after);
    void on_newest(const keyed_page& page);
    void on_page(const keyed_page& page);
    void apply(const keyed_record& record);
    void note_result(bool ok);

    timer_service& timers_;
    keyed_log& log_;
    keyed_topic topic_;
    poll_policy poll_policy_;
    bool complete_ = false;
    bool failing_ = false;
    bool read_again_ = false;
    std::uint64_t position_ = 0;
    std::map<std::string, std::uint64_t, std::less<>> offsets_;
    std::set<std::string> listed_; // keys seen in the pages of the current listing
    bool listing_in_progress_ = false;
    std::uint64_t listing_end_ = 0;
    monotonic_time healthy_since_;
    monotonic_time read_started_at_;
    monotonic_time read_at_; // when a read succeeded last
    bool paused_ = true;
    bool reading_ = false;
    timer_id timer_ = 0; // 0: none is scheduled
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
