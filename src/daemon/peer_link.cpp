#include "peer_link.h"

#include "platform/instance_list.h"

#include <utility>

namespace cactusloom {
namespace {

// The list lags anyway and only says where to look.
constexpr duration list_interval = std::chrono::seconds{5};
constexpr duration state_limit = std::chrono::milliseconds{800};
constexpr std::size_t peers_asked = 3;

} // namespace

peer_link::peer_link(timer_service& timers, member self, std::uint32_t seed, instance_list* list)
    : timers_(timers), list_(list), client_(timers),
      detector_(timers, client_, std::move(self), seed), random_(seed)
{
}

peer_link::~peer_link()
{
    timers_.cancel(list_timer_);
}

void peer_link::start()
{
    detector_.start();
    if (list_ != nullptr) {
        read_list();
    }
}

void peer_link::read_list()
{
    list_->fetch([this](const result<std::vector<listed_instance>>& found) {
        if (!found) {
            return; // what the members say takes precedence anyway
        }
        std::vector<peer_hint> hints;
        for (const auto& it : found.value()) {
            hints.push_back({it.name, it.data_centre, it.address, it.leaving});
        }
        detector_.set_hints(std::move(hints));
    });
    list_timer_ = timers_.schedule(list_interval, [this] { read_list(); });
}

void peer_link::fetch(log_offset newer_than, callback done)
{
    std::vector<std::string> addresses;
    for (const auto& [name, entry] : members().others()) {
        if (is_live(entry.info.state) && members().is_reachable(entry.info.data_centre)) {
            addresses.push_back(entry.info.address);
        }
    }
    while (addresses.size() > peers_asked) {
        addresses.erase(addresses.begin() +
                        draw_below(random_, static_cast<std::uint32_t>(addresses.size())));
    }
    struct collection {
        std::vector<std::string> states;
        std::size_t open = 0;
        callback done;
    };
    auto all = std::make_shared<collection>();
    all->open = addresses.size();
    all->done = std::move(done);
    if (addresses.empty()) {
        timers_.schedule(duration::zero(), [all] { all->done({}); });
        return;
    }
    for (const auto& it : addresses) {
        client_.send(it, make_config_state_request(newer_than), state_limit,
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
