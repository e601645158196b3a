#pragma once

#include "config/deployment.h"

namespace cactusloom {

// Returns `next` with its kinds and workers ordered so that every entry that `current` has keeps
// its position. Running tasks refer to kinds and workers by position, so a position must never come
// to mean something else. Entries that `next` lacks stay in place, marked as retired: they take no
// new work. A retired worker whose name comes back with the same address is in service again; with
// another address it is a new worker and gets a new position.
deployment with_stable_positions(const deployment& current, deployment next);

} // namespace cactusloom
