#pragma once

#include "cell/cell_election.h"

#include <set>
#include <span>
#include <string>
#include <string_view>

namespace cactusloom {

// The claim to the cell that a job is sent to and the instance that holds it. Both are null if no
// cell qualifies.
struct chosen_cell {
    const instance_view* holder = nullptr;
    const cell_claim* claim = nullptr;
};

// Properties of a job that determine its cell.
struct cell_constraints {
    std::string_view job_id;
    std::string_view home;                   // data centre of the instance that has the job
    const std::set<std::string>& refused_by; // cells that had no capacity for it
    std::string_view required_cell;          // cell whose workers must run it; empty for any
};

// Chooses the cell for a job: its home cell first, then the others in an order given by a hash of
// the job id. In a burst or after a loss of workers the overflow thus spreads evenly; in a fixed
// order it would fill one cell after the other, and each job would be refused by every full one
// first. Of several claims to one cell the one with the highest token counts. Has no side effects.
chosen_cell choose_cell(std::span<const instance_view> holders,
                        const cell_constraints& constraints);

} // namespace cactusloom
