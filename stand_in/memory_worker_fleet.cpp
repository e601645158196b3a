#include "stand_in/memory_worker_fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cactusloom {

namespace {

constexpr duration hop_latency = std::chrono::milliseconds{1};
constexpr std::int64_t max_lease_ms = 1000;
constexpr duration reply_limit = std::chrono::milliseconds{80};
constexpr duration start_delay = std::chrono::seconds{3};

} // namespace

worker_report memory_worker_fleet::add(const std::string& id, task_demand capacity,
                                       const std::string& kind, double speed)
{
    auto& it = workers_[id];
    it.report.id = id;
    it.report.address = id;
    it.report.service = "service";
    it.report.data_centre = "dc";
    it.report.kind = kind;
    it.report.labels = {kind};
    it.report.capacity = capacity;
    it.report.started_at_ms = 1;
    it.speed = speed;
    it.born = timers_.monotonic_now();
    return it.report;
}

std::vector<worker_report> memory_worker_fleet::reports() const
{
    std::vector<worker_report> out;
    for (const auto& [id, it] : workers_) {
        out.push_back(it.report);
    }
    return out;
}

void memory_worker_fleet::restart(const std::string& id)
{
    auto& it = workers_.at(id);
    for (const auto& [task, run] : it.runs) {
        timers_.cancel(run.end_timer);
        running_on_[task].erase(id);
    }
    worker fresh;
    fresh.report = it.report;
    fresh.report.started_at_ms = it.report.started_at_ms + 1;
    fresh.fault = it.fault;
    fresh.speed = it.speed;
    fresh.born = timers_.monotonic_now();
    it = std::move(fresh);
}

void memory_worker_fleet::crash(const std::string& id)
{
    ++crashes_;
    restart(id);
    workers_.at(id).fault.silent = true;
    timers_.schedule(crash_downtime, [this, id] { workers_.at(id).fault.silent = false; });
}

std::size_t memory_worker_fleet::starts_of(const std::string& task) const
{
    const auto it = starts_.find(task);
    return it == starts_.end() ? 0 : it->second;
}

std::size_t memory_worker_fleet::failures_of(const std::string& task) const
{
    const auto it = failures_.find(task);
    return it == failures_.end() ? 0 : it->second;
}

std::int64_t memory_worker_fleet::clock_of(const worker& it) const
{
    return (timers_.monotonic_now() - it.born).count() / 1000;
}

// Deterministic low-discrepancy sequence: true for the given share of calls, without a seed.
bool memory_worker_fleet::sample(double share)
{
    constexpr std::uint32_t golden = 2654435769U;
    sample_state_ += golden;
    return static_cast<double>(sample_state_) / 4294967296.0 < share;
}

void memory_worker_fleet::extend_lease(worker& it, std::int64_t deadline_ms)
{
    const auto latest = clock_of(it) + max_lease_ms;
    it.lease_end_ms = std::max(it.lease_end_ms, std::min(deadline_ms, latest));
}

void memory_worker_fleet::check_lease(const std::string& id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.runs.empty()) {
        return;
    }
    auto& it = found->second;
    const auto left = it.lease_end_ms - clock_of(it);
    if (left > 0) {
        timers_.schedule(std::chrono::milliseconds{left}, [this, id] { check_lease(id); });
        return;
    }
    while (!it.runs.empty()) {
        const std::string task = it.runs.begin()->first; // end() removes the key
        end(it, task, run_end::lapsed);
    }
}

void memory_worker_fleet::end(worker& it, const std::string& task, run_end how)
{
    const auto run = it.runs.find(task);
    timers_.cancel(run->second.end_timer);
    auto& highest = it.highest_ended[task];
    highest = std::max(highest, run->second.run);
    it.finished.push_back({++it.last_number, task, run->second.run, how});
    failures_[task] += how == run_end::failed ? 1 : 0;
    it.runs.erase(run);
    running_on_[task].erase(it.report.id);
    complete_pending_polls(it);
}

command_status memory_worker_fleet::execute_start(worker& it, const std::string& task,
                                                  std::uint32_t run, std::int64_t deadline_ms,
                                                  std::uint64_t token)
{
    if (token < it.token) {
        return command_status::fenced;
    }
    it.token = token;
    const auto ended = it.highest_ended.find(task);
    if (ended != it.highest_ended.end() && run <= ended->second) {
        return command_status::superseded;
    }
    if (deadline_ms < clock_of(it)) {
        return command_status::too_late;
    }
    if (it.runs.contains(task)) {
        return command_status::accepted;
    }
    extend_lease(it, deadline_ms);
    run_entry entry;
    entry.run = run;
    entry.began = timers_.monotonic_now();
    entry.demand = demand ? demand(task) : task_demand{1000, 0, 0};
    const auto base = work ? work(task) : duration{std::chrono::milliseconds{100}};
    entry.length = duration{static_cast<duration::rep>(static_cast<double>(base.count()) *
                                                       it.speed * it.fault.slowness)};
    const auto id = it.report.id;
    if (crashes_worker && crashes_worker(task)) {
        entry.end_timer =
            timers_.schedule(std::chrono::milliseconds{20}, [this, id] { crash(id); });
    }
    else if (it.fault.fails_all) {
        entry.end_timer = timers_.schedule(std::chrono::milliseconds{5}, [this, id, task] {
            end(workers_.at(id), task, run_end::failed);
        });
    }
    else if (!it.fault.hangs) {
        entry.end_timer = timers_.schedule(
            entry.length, [this, id, task] { end(workers_.at(id), task, run_end::done); });
    }
    std::int64_t used = entry.demand.cpu_millis;
    for (const auto& [other, row] : it.runs) {
        used += row.demand.cpu_millis;
    }
    if (used > it.report.capacity.cpu_millis) {
        violations_.push_back(fmt::format("{} over its capacity: {} of {} CPU millis", id, used,
                                          it.report.capacity.cpu_millis));
    }
    auto& running_workers = running_on_[task];
    if (!running_workers.empty()) {
        violations_.push_back(fmt::format("{} on {} and {}", task, *running_workers.begin(), id));
    }
    running_workers.insert(id);
    ++starts_[task];
    ++total_starts_;
    const bool first = it.runs.empty();
    it.runs.emplace(task, entry);
    if (first) {
        check_lease(id);
    }
    return command_status::accepted;
}

void memory_worker_fleet::start(const worker_report& target, const start_command& command,
                                std::function<void(command_reply)> fn)
{
    expired_starts_ += command.deadline_ms < clock_of(workers_.at(target.id)) ? 1 : 0;
    const start_command copy{command.task, command.run, {}, command.deadline_ms, command.token};
    timers_.schedule(hop_latency, [this, id = target.id, copy, fn = std::move(fn)] {
        auto& it = workers_.at(id);
        const auto lose = [&] { timers_.schedule(reply_limit, [fn] { fn({}); }); };
        if (it.fault.silent) {
            lose();
            return;
        }
        if (sample(it.fault.delayed_starts)) {
            timers_.schedule(start_delay, [this, id, copy] {
                execute_start(workers_.at(id), copy.task, copy.run, copy.deadline_ms, copy.token);
            });
            lose();
            return;
        }
        const auto status =
            it.fault.finds_starts_invalid
                ? command_status::invalid
                : execute_start(it, copy.task, copy.run, copy.deadline_ms, copy.token);
        if (sample(it.fault.lost_replies)) {
            lose();
            return;
        }
        timers_.schedule(hop_latency, [fn, status, clock = clock_of(it)] { fn({status, clock}); });
    });
}

void memory_worker_fleet::stop(const worker_report& target, const std::string& task,
                               std::uint32_t run, std::uint64_t token,
                               std::function<void(command_reply)> fn)
{
    timers_.schedule(hop_latency, [this, id = target.id, task, run, token, fn = std::move(fn)] {
        auto& it = workers_.at(id);
        if (it.fault.silent || it.fault.ignores_stops) {
            timers_.schedule(reply_limit, [fn] { fn({}); });
            return;
        }
        auto status = command_status::accepted;
        if (token < it.token) {
            status = command_status::fenced;
        }
        else {
            it.token = token;
            auto& highest = it.highest_ended[task];
            highest = std::max(highest, run);
            const auto found = it.runs.find(task);
            if (found != it.runs.end() && found->second.run <= run) {
                end(it, task, run_end::stopped);
            }
        }
        timers_.schedule(hop_latency, [fn, status, clock = clock_of(it)] { fn({status, clock}); });
    });
}

poll_reply memory_worker_fleet::list(const worker& it) const
{
    poll_reply out;
    out.status = command_status::accepted;
    out.clock_ms = clock_of(it);
    out.started_at_ms = it.report.started_at_ms;
    out.finished = it.finished;
    for (const auto& [task, run] : it.runs) {
        const auto elapsed = timers_.monotonic_now() - run.began;
        const auto percent =
            it.fault.hangs ? 0
                           : static_cast<int>(100 * elapsed / std::max(run.length, duration{1}));
        out.running.push_back({task, run.run, percent});
    }
    return out;
}

void memory_worker_fleet::complete_pending_polls(worker& it)
{
    const auto waiting = std::exchange(it.waiting, {});
    for (const auto& row : waiting) {
        timers_.schedule(hop_latency, [fn = row.fn, reply = list(it)] { fn(reply); });
    }
}

void memory_worker_fleet::poll(const worker_report& target, const poll_command& command,
                               std::function<void(poll_reply)> fn)
{
    timers_.schedule(hop_latency, [this, id = target.id, command, fn = std::move(fn)] {
        auto& it = workers_.at(id);
        if (it.fault.silent || sample(it.fault.lost_replies)) {
            timers_.schedule(command.wait + reply_limit, [fn] { fn({}); });
            return;
        }
        if (command.token < it.token) {
            poll_reply fenced;
            fenced.status = command_status::fenced;
            timers_.schedule(hop_latency, [fn, fenced] { fn(fenced); });
            return;
        }
        it.token = command.token;
        std::erase_if(it.finished,
                      [&](const finished_row& row) { return row.number <= command.last_seen_end; });
        if (command.deadline_ms >= 0) {
            extend_lease(it, command.deadline_ms);
        }
        if (!it.finished.empty() || command.wait == duration::zero()) {
            timers_.schedule(hop_latency, [fn, reply = list(it)] { fn(reply); });
            return;
        }
        const auto number = ++last_poll_;
        it.waiting.push_back({number, fn});
        timers_.schedule(command.wait, [this, id, number] {
            auto& worker = workers_.at(id);
            const auto row = std::ranges::find(worker.waiting, number, &pending_poll::id);
            if (row != worker.waiting.end()) {
                const auto answer = row->fn;
                worker.waiting.erase(row);
                timers_.schedule(hop_latency, [answer, reply = list(worker)] { answer(reply); });
            }
        });
    });
}

} // namespace cactusloom
