#include "cell/job_history.h"

#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace cactusloom {

namespace {

// About 3 s of a controller with 800 starts a second, in 0.5 MB.
constexpr std::size_t max_events = 8192;
constexpr int max_job_lines_per_second = 30;
constexpr std::size_t max_events_per_line = 40;
constexpr std::size_t max_arrival_lines = 25;
constexpr duration max_arrival_age = std::chrono::seconds{4};

template<std::size_t N>
std::array<char, N> fixed_text(std::string_view text)
{
    std::array<char, N> out{};
    std::ranges::copy(text.substr(0, N), out.begin());
    return out;
}

template<std::size_t N>
std::string_view text_of(const std::array<char, N>& text)
{
    return {text.data(), static_cast<std::size_t>(std::ranges::find(text, '\0') - text.begin())};
}

std::string_view to_string(job_event what)
{
    switch (what) {
    case job_event::submitted:
        return "submitted";
    case job_event::sent:
        return "sent";
    case job_event::accepted:
        return "accepted";
    case job_event::resumed:
        return "resumed";
    case job_event::started:
        return "started";
    case job_event::stopped:
        return "stopped";
    case job_event::run_ended:
        return "run_ended";
    case job_event::abandoned:
        return "abandoned";
    case job_event::answered:
        return "answered";
    }
    return "";
}

bool is_arrival(job_event what)
{
    return what == job_event::submitted || what == job_event::accepted ||
           what == job_event::resumed;
}

} // namespace

void job_history::add(job_event what, std::string_view job_id, std::string_view other,
                      std::uint32_t number)
{
    if (events_.size() == max_events) {
        events_.pop_front();
    }
    events_.push_back(
        {time_.monotonic_now(), what, number, fixed_text<16>(job_id), fixed_text<20>(other)});
}

void job_history::log_job(std::string_view job_id, std::string_view reason)
{
    const auto now = time_.monotonic_now();
    if (now - second_ >= std::chrono::seconds{1}) {
        second_ = now;
        lines_this_second_ = 0;
    }
    if (++lines_this_second_ > max_job_lines_per_second) {
        return;
    }
    log_request_event("job_history", "id={} reason=\"{}\" events=\"{}\"", job_id, reason,
                      events_of(job_id));
}

std::string job_history::events_of(std::string_view job_id) const
{
    const auto now = time_.monotonic_now();
    const auto job = fixed_text<16>(job_id);
    std::string text;
    std::size_t n = 0;
    for (auto it = events_.rbegin(); it != events_.rend() && n < max_events_per_line; ++it) {
        if (it->job == job) {
            ++n;
            text =
                fmt::format("{} {} {}#{}{}{}", (it->at - now).count() / 1000, to_string(it->what),
                            text_of(it->other), it->number, text.empty() ? "" : "; ", text);
        }
    }
    return text;
}

void job_history::log_arrivals(std::string_view reason)
{
    const auto now = time_.monotonic_now();
    if (now - arrivals_logged_at_ < std::chrono::seconds{1}) {
        return;
    }
    const auto since = std::max(arrivals_logged_at_, now - max_arrival_age);
    arrivals_logged_at_ = now;
    std::string text;
    std::size_t n = 0;
    std::size_t lines = 0;
    const auto log_line = [&] {
        log_request_event("job_arrivals", "reason=\"{}\" jobs=\"{}\"", reason, text);
        text.clear();
        n = 0;
        ++lines;
    };
    for (auto it = events_.rbegin();
         it != events_.rend() && it->at > since && lines < max_arrival_lines; ++it) {
        if (!is_arrival(it->what)) {
            continue;
        }
        fmt::format_to(std::back_inserter(text), "{}{} {} {} {}#{}", text.empty() ? "" : "; ",
                       text_of(it->job), (it->at - now).count() / 1000, to_string(it->what),
                       text_of(it->other), it->number);
        if (++n == max_events_per_line) {
            log_line();
        }
    }
    if (n != 0) {
        log_line();
    }
}

} // namespace cactusloom
