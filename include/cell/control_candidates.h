#pragma once

#include "cell/cell_election.h"

#include <functional>
#include <set>
#include <span>
#include <string>

namespace cactusloom {

// Instances that may control workers. The others need neither the list of workers nor links to each
// other, so that the load on the platform's store and on the links grows with the number of
// instances plus workers, not with their product.
//
// In a small deployment every instance is a candidate; in a larger one, the best ranked of each
// data centre. A candidate that is lost (`alive` is false) is replaced by the next ones in rank,
// down to the last survivor, and an instance that holds a claim stays a candidate.
std::set<std::string, std::less<>> control_candidates(std::span<const instance_view> instances);

} // namespace cactusloom
