#include "peer_config_client.h"

#include "base/timer_service.h"
#include "http/peer_rpc.h"
#include "membership/member_table.h"

#include <memory>
#include <utility>

namespace cactusloom {
namespace {

// Shorter than the follower's timeout for the replies of all peers.
constexpr duration state_timeout = std::chrono::milliseconds{800};
constexpr std::size_t max_peers = 3;

struct pending_fetch {
    std::vector<std::string> states;
    std::size_t open = 0;
    config_peer_source::callback done;
};

} // namespace

void peer_config_client::fetch(log_offset newer_than, callback done)
{
    std::vector<std::string> addresses;
    const member_table& members = members_();
    for (const auto& [name, entry] : members.others()) {
        if (is_live(entry.info.state) && members.is_reachable(entry.info.data_centre)) {
            addresses.push_back(entry.info.address);
        }
    }
    while (addresses.size() > max_peers) {
        addresses.erase(addresses.begin() +
                        draw_below(random_, static_cast<std::uint32_t>(addresses.size())));
    }
    auto all = std::make_shared<pending_fetch>();
    all->open = addresses.size();
    all->done = std::move(done);
    if (addresses.empty()) {
        timers_.schedule(duration::zero(), [all] { all->done({}); });
        return;
    }
    for (const auto& it : addresses) {
        transport_.send(it, make_config_state_request(newer_than), state_timeout,
                        [all](const result<std::string>& reply) {
                            if (reply) {
                                if (auto state = read_config_state_reply(reply.value())) {
                                    all->states.push_back(std::move(state).value());
                                }
                            }
                            if (--all->open == 0) {
                                all->done(std::move(all->states));
                            }
                        });
    }
}

} // namespace cactusloom
