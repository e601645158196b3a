#pragma once

#include "base/time.h"
#include "cell/job.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusloom {

// A claim to the workers of a cell, as its holder announces it.
struct cell_claim {
    std::string cell;
    std::uint64_t token = 0;
    shared_worker_set workers{}; // on which its tasks may run

    friend bool operator==(const cell_claim&, const cell_claim&) = default;
};

// An instance as this one sees it.
struct instance_view {
    std::string name;
    std::string data_centre;
    double cpu_share = 0; // share of a core that it has
    bool alive = false;
    bool leaving = false;
    std::vector<cell_claim> claims{};
    bool overloaded = false;         // gets too little processor time for its work
    bool linked = true;              // its liveness is judged by an own link
    bool connection_refused = false; // no process is there, but its machine can be reached
    bool reply_overdue = false;      // its reply to a beat is late
};

// Name of the cell of all workers, used while one controller can carry them.
inline constexpr std::string_view all_workers_cell = "*";

// Decides who controls a cell from what one instance sees. It needs no agreement: two controllers
// of a cell are settled by the workers, which obey the higher token only, and this choice makes
// all instances in touch settle on the holder of the highest token. While it lives, a holder
// keeps its cell, so that a returning instance causes no change; but one that is strained gives it
// to an instance that is not, unless that one is much weaker.
class cell_election {
public:
    struct decision {
        std::string controller;          // empty: none yet
        bool should_claim = false;       // this instance has to claim the cell
        std::uint64_t highest_token = 0; // of the claims to any cell
    };

    // `self` must be among the views. Claims of instances that are not alive do not count.
    static decision decide(std::string_view cell, std::string_view self,
                           std::span<const instance_view> views);

    // True if `self` is on the smaller side of a data centre that is cut off: less than half of the
    // known instances are in touch, and none of another data centre. Such a side controls the cell
    // of its own data centre only, since the larger side controls the others.
    static bool is_isolated_data_centre(std::string_view self,
                                        std::span<const instance_view> views);

    // True if `self` reaches less than half of the instances that it links to. Of two equal sides
    // the one without the first of all by name counts as the smaller.
    static bool is_in_minority(std::string_view self, std::span<const instance_view> views);

    // True if `self` reaches more than half of the instances at home that it links to.
    static bool reaches_own_data_centre(std::string_view self,
                                        std::span<const instance_view> views);

    // True if a controller of `cell` also controls the workers of `other`.
    static bool covers(std::string_view cell, std::string_view other)
    {
        return cell == other || cell == all_workers_cell;
    }

    // Best candidate first: those that are not strained, those of the cell's data centre, the
    // stronger, then by a hash that spreads several cells over equal instances.
    static bool ranks_before(std::string_view cell, const instance_view& a, const instance_view& b);
};

} // namespace cactusloom
