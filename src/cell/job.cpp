#include "cell/job.h"

#include "base/hash.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace cactusloom {

namespace {

// Removes the last dot of the text and the number after it. Returns false if there is none.
bool remove_number(std::string_view& text, std::uint32_t& value)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return false;
    }
    const auto digits = text.substr(dot + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    text = text.substr(0, dot);
    return ec == std::errc{} && end == digits.data() + digits.size() && !digits.empty();
}

} // namespace

std::string_view to_string(job_end end)
{
    switch (end) {
    case job_end::completed:
        return "completed";
    case job_end::failed:
        return "failed";
    case job_end::not_run:
        return "not_run";
    case job_end::unknown:
        return "unknown";
    case job_end::moved:
        return "moved";
    }
    return "";
}

std::string to_task_name(const task_ref& task)
{
    return fmt::format("{}.0.{}.{}", task.job, task.step, task.index);
}

bool parse_task_name(std::string_view text, task_ref& task)
{
    std::uint32_t occurrence = 0;
    if (!remove_number(text, task.index) || !remove_number(text, task.step) ||
        !remove_number(text, occurrence)) {
        return false;
    }
    task.job = std::string(text);
    return !task.job.empty();
}

std::uint32_t worker_id_hash(std::string_view id)
{
    return static_cast<std::uint32_t>(hash64(id));
}

const char* find_job_defect(const job_request& job)
{
    if (job.steps.empty()) {
        return "no steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.steps[i];
        if (step.count == 0) {
            return "a step without tasks";
        }
        tasks += step.count;
        if (tasks > max_tasks_per_job) {
            return "too many tasks";
        }
        if (step.demand.cpu_millis < 0 || step.demand.memory_mb < 0 || step.demand.gpus < 0) {
            return "a demand below zero";
        }
        // Steps may only wait for earlier ones, so there are no cycles.
        if (std::ranges::any_of(step.after, [i](std::uint32_t it) { return it >= i; })) {
            return "a step that waits for itself or a later one";
        }
    }
    return nullptr;
}

duration critical_path(const job_request& job, const std::function<duration(const job_step&)>& work)
{
    std::vector<duration> ends;
    duration longest{};
    for (const auto& step : job.steps) {
        duration begin{};
        for (const auto it : step.after) {
            begin = std::max(begin, ends[it]);
        }
        ends.push_back(begin + work(step));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace cactusloom
