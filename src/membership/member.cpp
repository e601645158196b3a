#include "membership/member.h"

namespace cactusloom {

const char* to_string(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        return "left";
    }
    return "dead";
}

bool supersedes(const member& update, const member& known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (known.state == member_state::left || update.state == member_state::left) {
        return known.state != member_state::left;
    }
    if (update.refutation != known.refutation) {
        return update.refutation > known.refutation;
    }
    return update.state > known.state;
}

} // namespace cactusloom
