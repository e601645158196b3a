#pragma once

#include "platform/log_service.h"
#include "stand_in/virtual_timer_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cactusloom {

// In-memory log with one stream and the faults that account tests need.
class fake_log final : public log_service {
public:
    explicit fake_log(virtual_timer_service& timers) : timers_(timers) {}

    bool is_down = false;
    unsigned lose_replies = 0;       // of the next appends, which are stored
    unsigned refuse = 0;             // of the next appends, with `limit_exceeded`
    std::vector<log_record> records; // retained
    log_offset end = 0;
    std::size_t open_appends = 0;
    std::size_t max_open_appends = 0;

    void append(std::string_view, std::string content, append_callback done) override
    {
        max_open_appends = std::max(max_open_appends, ++open_appends);
        timers_.schedule(std::chrono::milliseconds{5},
                         [this, content = std::move(content), done = std::move(done)] {
                             --open_appends;
                             done(store(content));
                         });
    }

    void read(std::string_view, log_offset from, std::size_t max_records,
              read_callback done) override
    {
        if (is_down) {
            done(failure(errc::unavailable, "log is down"));
            return;
        }
        log_page page;
        page.end = end;
        page.first_retained = records.empty() ? end : records.front().offset;
        for (const auto& it : records) {
            if (it.offset >= from && page.records.size() < std::min<std::size_t>(max_records, 7)) {
                page.records.push_back(it);
            }
        }
        done(std::move(page));
    }

    void put(std::string content)
    {
        records.push_back({end++, timers_.wall_now(), std::move(content)});
    }
    void drop_before(log_offset first)
    {
        std::erase_if(records, [&](const log_record& it) { return it.offset < first; });
    }

private:
    result<log_offset> store(const std::string& content)
    {
        if (is_down) {
            return failure(errc::unavailable, "log is down");
        }
        if (refuse > 0) {
            --refuse;
            return failure(errc::limit_exceeded, "record too large");
        }
        put(content);
        if (lose_replies > 0) {
            --lose_replies;
            return failure(errc::reply_lost, "reply lost");
        }
        return end - 1;
    }

    virtual_timer_service& timers_;
};

} // namespace cactusloom
