#include "admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace cactusloom {
namespace {

// Bounds on the cost of a task. Without them a wrong run time could starve a team or lengthen the
// turns.
constexpr duration min_cost = std::chrono::milliseconds{1};
constexpr duration max_cost = std::chrono::seconds{1};

// Turns after which the team with the least weight can serve a task of max_cost. Bounds the search
// for the next task; more turns make the service smoother.
constexpr double turns_for_max_cost = 8.0;

} // namespace

fair_queue::fair_queue(std::span<const double> weights, std::size_t max_tasks)
    : max_tasks_(max_tasks)
{
    update(weights, max_tasks);
}

void fair_queue::update(std::span<const double> weights, std::size_t max_tasks)
{
    assert(!weights.empty() && weights.size() >= teams_.size());
    max_tasks_ = max_tasks;
    teams_.resize(weights.size());
    const double least = *std::min_element(weights.begin(), weights.end());
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    assert(least > 0.0);
    for (std::size_t n = 0; n < weights.size(); ++n) {
        teams_[n].weight = weights[n];
        teams_[n].share = weights[n] / sum;
        teams_[n].quantum =
            weights[n] / least * static_cast<double>(max_cost.count()) / turns_for_max_cost;
    }
    active_weight_ = 0.0;
    for (const team_entry& it : teams_) {
        active_weight_ += it.jobs > 0 ? it.weight : 0.0;
    }
}

bool fair_queue::has_room(team_index team, std::size_t count) const
{
    const double own_share = teams_[team].share * static_cast<double>(max_tasks_);
    return size_ + count <= max_tasks_ ||
           static_cast<double>(teams_[team].tasks + count) <= own_share;
}

void fair_queue::push(queued_job job, team_index team, duration cost, std::uint32_t count)
{
    if (count == 0) {
        return;
    }
    job_entry& entry = entry_of(job, team, cost);
    entry.count += count;
    teams_[team].tasks += count;
    size_ += count;
    if (entry.count == count) {
        link_job(job, false);
    }
}

void fair_queue::push_retry(queued_job job, team_index team, duration cost)
{
    job_entry& entry = entry_of(job, team, cost);
    ++entry.count;
    ++teams_[team].tasks;
    ++size_;
    if (entry.count == 1) {
        link_job(job, true);
    }
    else if (teams_[team].jobs > 1) {
        unlink_job(job);
        link_job(job, true);
    }
}

std::optional<queued_job> fair_queue::front()
{
    if (size_ == 0) {
        return std::nullopt;
    }
    while (true) {
        const team_list& served = served_list();
        const team_index team = served.first;
        team_entry& it = teams_[team];
        if (!it.had_quantum) {
            // The bound keeps a team that often changes between the lists from accumulating quanta.
            it.deficit = std::min(it.deficit + it.quantum,
                                  it.quantum + static_cast<double>(max_cost.count()));
            it.had_quantum = true;
        }
        if (it.deficit >= jobs_[it.first].cost) {
            return it.first;
        }
        unlink_team(team);
        link_team(team);
    }
}

void fair_queue::pop()
{
    const team_index team = served_list().first;
    team_entry& it = teams_[team];
    const queued_job job = it.first;
    job_entry& entry = jobs_[job];
    it.deficit -= entry.cost;
    --entry.count;
    --it.tasks;
    --size_;
    if (entry.count == 0) {
        unlink_job(job);
    }
    else if (it.jobs > 1) {
        unlink_job(job);
        link_job(job, false);
    }
}

std::uint32_t fair_queue::remove(queued_job job)
{
    if (job >= jobs_.size() || jobs_[job].count == 0) {
        return 0;
    }
    job_entry& entry = jobs_[job];
    const std::uint32_t count = entry.count;
    unlink_job(job);
    entry.count = 0;
    teams_[entry.team].tasks -= count;
    size_ -= count;
    return count;
}

void fair_queue::set_over_quota(team_index team, bool is_over)
{
    team_entry& it = teams_[team];
    if (it.is_over_quota == is_over) {
        return;
    }
    const bool is_linked = it.jobs > 0;
    if (is_linked) {
        unlink_team(team);
    }
    it.is_over_quota = is_over;
    if (is_linked) {
        link_team(team);
    }
}

std::size_t fair_queue::estimate_position(team_index team, std::size_t count) const
{
    const team_entry& it = teams_[team];
    // The jobs of a team are served round robin, so each gets at most `count` tasks meanwhile.
    const std::size_t own = std::min(it.tasks, it.jobs * count) + count;
    const double others_weight = active_weight_ - (it.jobs > 0 ? it.weight : 0.0);
    const double by_weight = static_cast<double>(own) * std::max(0.0, others_weight) / it.weight;
    const std::size_t others = size_ - it.tasks;
    return own - 1 + std::min(others, static_cast<std::size_t>(by_weight));
}

fair_queue::job_entry& fair_queue::entry_of(queued_job job, team_index team, duration cost)
{
    if (job >= jobs_.size()) {
        jobs_.resize(std::max<std::size_t>(job + 1, jobs_.size() * 2));
    }
    job_entry& entry = jobs_[job];
    assert(entry.count == 0 || entry.team == team);
    entry.team = team;
    entry.cost = static_cast<std::uint32_t>(std::clamp(cost, min_cost, max_cost).count());
    return entry;
}

void fair_queue::link_job(queued_job job, bool at_front)
{
    job_entry& entry = jobs_[job];
    team_entry& it = teams_[entry.team];
    entry.previous = at_front ? none : it.last;
    entry.next = at_front ? it.first : none;
    (entry.previous == none ? it.first : jobs_[entry.previous].next) = job;
    (entry.next == none ? it.last : jobs_[entry.next].previous) = job;
    if (++it.jobs == 1) {
        active_weight_ += it.weight;
        link_team(entry.team);
    }
}

void fair_queue::unlink_job(queued_job job)
{
    job_entry& entry = jobs_[job];
    team_entry& it = teams_[entry.team];
    (entry.previous == none ? it.first : jobs_[entry.previous].next) = entry.next;
    (entry.next == none ? it.last : jobs_[entry.next].previous) = entry.previous;
    if (--it.jobs == 0) {
        active_weight_ -= it.weight;
        unlink_team(entry.team);
        // A team without waiting tasks keeps no deficit for later.
        it.deficit = 0.0;
    }
}

void fair_queue::link_team(team_index team)
{
    team_entry& it = teams_[team];
    team_list& list = list_of(team);
    it.previous = list.last;
    it.next = none;
    (list.last == none ? list.first : teams_[list.last].next) = team;
    list.last = team;
    it.had_quantum = false;
}

void fair_queue::unlink_team(team_index team)
{
    team_entry& it = teams_[team];
    team_list& list = list_of(team);
    (it.previous == none ? list.first : teams_[it.previous].next) = it.next;
    (it.next == none ? list.last : teams_[it.next].previous) = it.previous;
}

} // namespace cactusloom
