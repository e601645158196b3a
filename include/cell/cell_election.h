#pragma once

#include "base/time.h"
#include "cell/job.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// A claim to the workers of a cell, as announced by its holder.
struct cell_claim {
    std::string cell;
    std::uint64_t token = 0;
    shared_worker_set workers{}; // workers that may run its tasks

    friend bool operator==(const cell_claim&, const cell_claim&) = default;
};

// State of an instance as seen by this one.
struct instance_view {
    std::string name;
    std::string data_centre;
    double cpu_share = 0; // share of a core that it may use
    bool alive = false;
    bool leaving = false;
    std::vector<cell_claim> claims{};
    bool overloaded = false; // gets too little CPU time for its work
    bool linked = true;      // this instance has its own link to it and judges its liveness by that
    bool connection_refused = false; // its machine is reachable, but no process listens
    bool reply_overdue = false;      // its reply to a ping is late
    bool keeps_cells = false; // although overloaded: its load would follow them to the next holder
};

// Name of the cell of all workers, used while one controller can handle them all.
inline constexpr std::string_view all_workers_cell = "*";

// Decides which instance controls a cell, from this instance's view alone and without consensus.
// Two controllers of a cell are resolved by the workers, which accept the higher token only, and
// this rule makes all instances in contact agree on the holder of the highest token. A live holder
// keeps its cell, so that a returning instance causes no change; but an overloaded one yields it to
// an instance that is not overloaded, unless that one is much weaker, or it keeps its cells.
class cell_election {
public:
    struct decision {
        std::string controller;          // empty: none yet
        bool should_claim = false;       // this instance has to claim the cell
        std::uint64_t highest_token = 0; // over the claims to all cells
    };

    // `self` must be among the views. Claims of instances that are not alive do not count.
    static decision decide(std::string_view cell, std::string_view self,
                           std::span<const instance_view> views);

    // True if the data centre of `self` is isolated by a network partition: less than half of the
    // known instances are alive, and none of another data centre. It then controls only the cell of
    // its own data centre, since the other side controls the rest.
    static bool is_isolated_data_centre(std::string_view self,
                                        std::span<const instance_view> views);

    // True if `self` reaches less than half of the instances that it links to. Of two equal halves,
    // the one without the first instance by name counts as the minority.
    static bool is_in_minority(std::string_view self, std::span<const instance_view> views);

    // True if `self` reaches more than half of the instances of its own data centre that it links
    // to.
    static bool reaches_own_data_centre(std::string_view self,
                                        std::span<const instance_view> views);

    // True if a controller of `cell` also controls the workers of `other`.
    static bool covers(std::string_view cell, std::string_view other)
    {
        return cell == other || cell == all_workers_cell;
    }

    // Ranks the better candidate first: not overloaded, then in the cell's data centre, then the
    // larger CPU share, then by a hash that spreads several cells over equal instances.
    static bool ranks_before(std::string_view cell, const instance_view& a, const instance_view& b);
};

} // namespace cactusloom
