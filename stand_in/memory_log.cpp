#include "stand_in/memory_log.h"

#include <algorithm>
#include <memory>

namespace cactusloom {

void memory_log::append(std::string_view stream, std::string content, append_callback done)
{
    ++append_count_;
    const auto half = append_latency_ / 2;
    timers_.schedule(half, [this, half, stream = std::string(stream), content = std::move(content),
                            done = std::move(done)]() mutable {
        if (silent_) {
            return;
        }
        auto reply = std::make_shared<result<log_offset>>(store(stream, std::move(content)));
        timers_.schedule(half, [reply, done = std::move(done)] { done(*reply); });
    });
}

void memory_log::read(std::string_view stream, log_offset from, std::size_t max_records,
                      read_callback done)
{
    ++read_count_;
    const auto half = read_latency_ / 2;
    timers_.schedule(half, [this, half, stream = std::string(stream), from, max_records,
                            done = std::move(done)]() mutable {
        if (silent_) {
            return;
        }
        auto reply = std::make_shared<result<log_page>>(load(stream, from, max_records));
        timers_.schedule(half, [reply, done = std::move(done)] { done(*reply); });
    });
}

void memory_log::set_latency(duration append, duration read)
{
    append_latency_ = append;
    read_latency_ = read;
}

void memory_log::drop_before(std::string_view stream, log_offset offset)
{
    auto& records = state_of(stream).records;
    while (!records.empty() && records.front().offset < offset) {
        records.pop_front();
    }
}

void memory_log::rewind(std::string_view stream, log_offset end)
{
    auto& state = state_of(stream);
    while (!state.records.empty() && state.records.back().offset >= end) {
        state.records.pop_back();
    }
    state.end = std::min(state.end, end);
}

void memory_log::replace(std::string_view stream, log_offset offset, std::string content)
{
    for (auto& it : state_of(stream).records) {
        if (it.offset == offset) {
            it.content = std::move(content);
            return;
        }
    }
}

log_page memory_log::page(std::string_view stream) const
{
    log_page page;
    if (const auto it = streams_.find(stream); it != streams_.end()) {
        page.records.assign(it->second.records.begin(), it->second.records.end());
        page.end = it->second.end;
        page.first_retained = page.records.empty() ? page.end : page.records.front().offset;
    }
    return page;
}

memory_log::stream_state& memory_log::state_of(std::string_view stream)
{
    return streams_.try_emplace(std::string(stream)).first->second;
}

void memory_log::drop_expired(stream_state& state)
{
    while (!state.records.empty() && timers_.wall_now() - state.records.front().time > retention_) {
        state.records.pop_front();
    }
}

result<log_offset> memory_log::store(std::string_view stream, std::string content)
{
    if (down_) {
        return failure(errc::unavailable, "log is down");
    }
    if (lost_requests_ > 0) {
        --lost_requests_;
        return failure(errc::reply_lost, "no reply to the append");
    }
    auto& state = state_of(stream);
    drop_expired(state);
    state.records.push_back({state.end, timers_.wall_now(), std::move(content)});
    ++state.end;
    if (lost_replies_ > 0) {
        --lost_replies_;
        return failure(errc::reply_lost, "no reply to the append");
    }
    return state.end - 1;
}

result<log_page> memory_log::load(std::string_view stream, log_offset from, std::size_t max_records)
{
    if (down_) {
        return failure(errc::unavailable, "log is down");
    }
    auto& state = state_of(stream);
    drop_expired(state);
    log_page page;
    page.end = state.end;
    page.first_retained = state.records.empty() ? state.end : state.records.front().offset;
    const auto start = std::max(from, page.first_retained);
    for (auto at = start; at < state.end && page.records.size() < max_records; ++at) {
        page.records.push_back(state.records[at - page.first_retained]);
    }
    return page;
}

} // namespace cactusloom
