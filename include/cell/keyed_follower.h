#pragma once

#include "base/timer_service.h"
#include "cell/keyed_log.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cactusloom {

// Follows one topic of keyed records: reports each newer value of a key once, and each removal. It
// starts with the newest record of each key and reads on from there. It starts over after older
// records were deleted, and where reading on would fetch more records than the newest of each key.
class keyed_follower {
public:
    struct poll_policy {
        duration wait{};          // how long a read waits at the platform for a record
        duration interval{};      // pause between two reads
        bool newest_only = false; // read only the newest record of each key
    };

    keyed_follower(timer_service& timers, keyed_log& log, keyed_topic topic, poll_policy policy);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;

    // Starts or resumes reading.
    void start();

    // Stops reading until the next start. Known records are kept.
    void pause();

    void set_poll_policy(poll_policy policy) { poll_policy_ = policy; }

    // Reads now instead of after the interval. If a read is under way, the next one follows it at
    // once.
    void read_now();

    // Marks the records before this offset as known from another source.
    void skip_to(std::uint64_t offset);

    // When the newest read was sent.
    monotonic_time read_started_at() const { return read_started_at_; }

    // True once the newest record of each key has been read.
    bool is_complete() const { return complete_; }

    // Time since which every read has succeeded.
    monotonic_time healthy_since() const { return healthy_since_; }

    // Receives a new value, or null for a removal. Values of a key arrive in order of their
    // offsets.
    std::function<void(const keyed_record& record)> on_record;
    // Called after each successful read.
    std::function<void()> on_read;

private:
    void schedule_read(duration delay);
    void finish_read();
    void start_read();
    void read_newest(const std::string& after);
    void continue_listing(const std::string& last_key);
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
    std::set<std::string> listed_; // keys in the pages of the current listing
    std::string listed_until_;     // last key of its newest page
    bool listing_in_progress_ = false;
    std::uint64_t listing_end_ = 0;
    monotonic_time healthy_since_;
    monotonic_time read_started_at_;
    monotonic_time read_at_; // when a read last succeeded
    bool paused_ = true;
    bool reading_ = false;
    timer_id timer_ = 0; // 0: none is scheduled
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusloom
