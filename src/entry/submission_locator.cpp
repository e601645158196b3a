#include "entry/submission_locator.h"

#include "membership/member_table.h"

#include <fmt/format.h>

namespace cactusloom {
namespace {

submission_location not_served(submission_place place, std::string reason)
{
    return {.place = place, .address = {}, .reason = std::move(reason)};
}

} // namespace

submission_location locate_submission(std::string_view id, const member_table& members,
                                      std::uint64_t checksum_key)
{
    const auto parsed = parse_submission_id(id, checksum_key);
    if (!parsed) {
        return not_served(submission_place::malformed, parsed.error().message);
    }
    const submission_prefix& prefix = parsed.value().prefix;
    const member& self = members.self();
    if (prefix.instance == self.name) {
        if (prefix.incarnation == self.incarnation) {
            return {.place = submission_place::local, .address = {}, .reason = {}};
        }
        return not_served(submission_place::gone,
                          fmt::format("instance {} was restarted", prefix.instance));
    }
    const member_entry* owner = members.find(prefix.instance);
    if (owner == nullptr) {
        return not_served(submission_place::unreachable,
                          fmt::format("instance {} is not known here", prefix.instance));
    }
    if (owner->info.incarnation != prefix.incarnation) {
        return not_served(submission_place::gone,
                          fmt::format("instance {} was restarted", prefix.instance));
    }
    if (!is_live(owner->info.state)) {
        return not_served(submission_place::gone, fmt::format("instance {} is {}", prefix.instance,
                                                              to_string(owner->info.state)));
    }
    if (!members.is_reachable(owner->info.data_centre)) {
        return not_served(submission_place::unreachable,
                          fmt::format("data centre {} is cut off", owner->info.data_centre));
    }
    return {.place = submission_place::remote, .address = owner->info.address, .reason = {}};
}

} // namespace cactusloom
