#include "cell/keyed_follower.h"

#include "base/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactusloom {

namespace {

constexpr duration retry_delay = std::chrono::milliseconds{250};
// Each worker writes once in 1.5 s. If more than this time has passed beyond the usual pause
// between two reads, there is more than one record for each key to read.
constexpr duration max_read_gap = std::chrono::seconds{2};

const char* name_of(keyed_topic topic)
{
    switch (topic) {
    case keyed_topic::configuration:
        return "configuration";
    case keyed_topic::workers:
        return "workers";
    case keyed_topic::instances:
        return "instances";
    }
    return "";
}

} // namespace

keyed_follower::keyed_follower(timer_service& timers, keyed_log& log, keyed_topic topic,
                               poll_policy policy)
    : on_record([](const keyed_record&) {}), on_read([] {}), timers_(timers), log_(log),
      topic_(topic), poll_policy_(policy)
{
}

keyed_follower::~keyed_follower()
{
    *alive_ = false;
    timers_.cancel(timer_);
}

void keyed_follower::start()
{
    if (std::exchange(paused_, false) && !reading_) {
        schedule_read(duration::zero());
    }
}

void keyed_follower::pause()
{
    paused_ = true;
    timers_.cancel(std::exchange(timer_, 0));
}

void keyed_follower::schedule_read(duration delay)
{
    reading_ = false;
    if (!paused_) {
        timer_ = timers_.schedule(delay, [this] { start_read(); });
    }
}

void keyed_follower::read_now()
{
    if (timer_ != 0) {
        timers_.cancel(timer_);
        schedule_read(duration::zero());
    }
    else {
        read_again_ = true; // the current read may have started before the awaited change
    }
}

void keyed_follower::skip_to(std::uint64_t offset)
{
    position_ = std::max(position_, offset);
}

void keyed_follower::start_read()
{
    timer_ = 0;
    reading_ = true;
    read_started_at_ = timers_.monotonic_now();
    const auto expected_gap = poll_policy_.interval + poll_policy_.wait;
    if (!complete_ || poll_policy_.newest_only ||
        read_started_at_ - read_at_ > expected_gap + max_read_gap) {
        listing_in_progress_ = false;
        read_newest("");
        return;
    }
    log_.read(topic_, position_, poll_policy_.wait, [this, alive = alive_](const keyed_page& page) {
        if (*alive) {
            on_page(page);
        }
    });
}

void keyed_follower::note_result(bool ok)
{
    if (ok == failing_) {
        failing_ = !ok;
        healthy_since_ = timers_.monotonic_now();
        log_event(ok ? "records_regained" : "records_unreachable", "topic={}", name_of(topic_));
    }
}

void keyed_follower::read_newest(const std::string& after)
{
    log_.newest(topic_, after, [this, alive = alive_](const keyed_page& page) {
        if (*alive) {
            on_newest(page);
        }
    });
}

// A page that ends where it was asked to continue from would be read for ever.
void keyed_follower::continue_listing(const std::string& last_key)
{
    if (!last_key.empty() && last_key != listed_until_) {
        listed_until_ = last_key;
        read_newest(last_key);
        return;
    }
    log_event("listing_stuck", "topic={} after=\"{}\" last_key=\"{}\"", name_of(topic_),
              listed_until_, last_key);
    schedule_read(retry_delay);
}

void keyed_follower::on_newest(const keyed_page& page)
{
    note_result(page.state == keyed_page::status::ok);
    if (page.state != keyed_page::status::ok) {
        schedule_read(retry_delay);
        return;
    }
    if (!listing_in_progress_) {
        listing_in_progress_ = true;
        listed_until_.clear();
        listed_.clear();
        // Later pages are of a later state of the topic; reading on from here covers what they
        // miss.
        listing_end_ = page.end;
    }
    for (const auto& record : page.records) {
        listed_.insert(record.key);
        apply(record);
    }
    if (page.has_more) {
        continue_listing(page.last_key);
        return;
    }
    std::vector<std::string> gone;
    for (const auto& [key, offset] : offsets_) {
        if (!listed_.contains(key) && offset < listing_end_) {
            gone.push_back(key);
        }
    }
    for (const auto& key : gone) {
        offsets_.erase(key);
        on_record({key, std::nullopt, listing_end_});
    }
    listing_in_progress_ = false;
    complete_ = true;
    position_ = listing_end_;
    finish_read();
}

void keyed_follower::on_page(const keyed_page& page)
{
    note_result(page.state == keyed_page::status::ok);
    if (page.state == keyed_page::status::trimmed) {
        complete_ = false;
        schedule_read(duration::zero());
        return;
    }
    if (page.state != keyed_page::status::ok) {
        schedule_read(retry_delay);
        return;
    }
    for (const auto& record : page.records) {
        apply(record);
    }
    position_ = std::max(position_, page.next);
    finish_read();
}

void keyed_follower::finish_read()
{
    read_at_ = timers_.monotonic_now();
    on_read();
    schedule_read(std::exchange(read_again_, false) ? duration::zero() : poll_policy_.interval);
}

void keyed_follower::apply(const keyed_record& record)
{
    const auto it = offsets_.find(record.key);
    if (it != offsets_.end() && record.offset <= it->second) {
        return; // a stale read
    }
    if (!record.value && it == offsets_.end()) {
        return;
    }
    offsets_[record.key] = record.offset;
    on_record(record);
}

} // namespace cactusloom
