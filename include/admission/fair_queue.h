#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cactusloom {

// Position of a team in deployment::teams.
using team_index = std::uint32_t;

// Job number assigned by the owner of the queue. Numbers are small and reused after removal.
using queued_job = std::uint32_t;

// Queue of tasks that wait for a worker. Teams share the service by weight (deficit round robin
// over expected run time) and the jobs of a team are served round robin, one task at a time, so
// that a large job does not delay small ones. Teams over their quota are served only when no team
// within its quota has tasks waiting. All tasks of a job are alike, so a job is one entry with a
// count and every operation takes constant time.
class fair_queue {
public:
    // Takes one positive weight per team. At most `max_tasks` tasks may wait, but each team may
    // always use its share by weight of that number, so the hard bound is twice `max_tasks`.
    fair_queue(std::span<const double> weights, std::size_t max_tasks);

    // Changes the weights and the bound. Teams keep their positions and new ones may be appended.
    void update(std::span<const double> weights, std::size_t max_tasks);

    // True if the team may add `count` tasks.
    bool has_room(team_index team, std::size_t count) const;

    // Adds tasks of a job. `cost` is the expected run time of one task. A job without tasks in the
    // queue is placed behind the other jobs of its team.
    void push(queued_job job, team_index team, duration cost, std::uint32_t count);

    // Adds one task whose start failed without running it, and moves its job to the front of its
    // team.
    void push_retry(queued_job job, team_index team, duration cost);

    // Job whose task is next. Stays the same until the queue or a quota state changes.
    std::optional<queued_job> front();

    // Removes one task of the front job. front() must be called first.
    void pop();

    // Removes all tasks of a job and returns their number.
    std::uint32_t remove(queued_job job);

    // Sets whether a team has reached its quota.
    void set_over_quota(team_index team, bool is_over);

    // Estimates how many tasks would be served before the last of `count` new tasks of a team.
    std::size_t estimate_position(team_index team, std::size_t count) const;

    std::size_t size() const { return size_; }
    std::size_t tasks_of(team_index team) const { return teams_[team].tasks; }

private:
    static constexpr std::uint32_t none = ~std::uint32_t{0};

    struct job_entry {
        std::uint32_t count = 0;
        std::uint32_t cost = 0; // microseconds
        team_index team = 0;
        std::uint32_t previous = none;
        std::uint32_t next = none;
    };

    struct team_entry {
        double weight = 1.0;
        double share = 0.0;   // fraction of the sum of weights
        double quantum = 0.0; // microseconds of run time per turn
        double deficit = 0.0;
        std::size_t tasks = 0;
        std::uint32_t jobs = 0;
        std::uint32_t first = none; // job
        std::uint32_t last = none;  // job
        std::uint32_t previous = none;
        std::uint32_t next = none;
        bool is_over_quota = false;
        bool had_quantum = false; // its deficit was raised in the current turn
    };

    // Intrusive list of teams that have tasks, linked through team_entry.
    struct team_list {
        std::uint32_t first = none;
        std::uint32_t last = none;
    };

    job_entry& entry_of(queued_job job, team_index team, duration cost);
    void link_job(queued_job job, bool at_front);
    void unlink_job(queued_job job);
    void link_team(team_index team);
    void unlink_team(team_index team);
    team_list& list_of(team_index team)
    {
        return teams_[team].is_over_quota ? over_quota_ : within_quota_;
    }
    team_list& served_list() { return within_quota_.first != none ? within_quota_ : over_quota_; }

    std::vector<team_entry> teams_;
    std::vector<job_entry> jobs_; // by job number
    team_list within_quota_;
    team_list over_quota_;
    double active_weight_ = 0.0;
    std::size_t size_ = 0;
    std::size_t max_tasks_;
};

} // namespace cactusloom
