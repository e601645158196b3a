#pragma once

#include "cell/cell_election.h"

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace cactusloom {

// A cell that a job may go to, and who controls it. Null if there is none.
struct chosen_cell {
    const instance_view* holder = nullptr;
    const cell_claim* claim = nullptr;
};

// What the choice depends on.
struct cell_constraints {
    std::string_view job_id;
    std::string_view home;                   // data centre of the instance that has the job
    const std::set<std::string>& refused_by; // cells without room for it
    std::string_view required_cell;          // cell whose workers may run it; empty: it is free
};

// Answers the load that one cell cannot take, in a burst or after a loss of workers: a job goes to
// its home cell first. What that one refuses is spread over all others by the job's id, so that it
// does not fill them one after the other, each with a refusal for the next job. Of several claims
// to one cell the newest counts. Pure decision.
chosen_cell choose_cell(std::span<const instance_view> holders, const cell_constraints& wish);

} // namespace cactusloom
