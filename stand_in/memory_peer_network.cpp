#include "stand_in/memory_peer_network.h"

#include <utility>

namespace cactusloom {

class memory_peer_network::transport final : public peer_transport {
public:
    transport(memory_peer_network& network, std::string address, std::uint64_t generation)
        : network_(network), address_(std::move(address)), generation_(generation)
    {
    }

    void send(std::string_view address, std::string request, duration limit, callback done) override
    {
        auto* own = network_.find(address_);
        if (own == nullptr || own->generation != generation_) {
            return; // the sending process has ended, and its callbacks with it
        }
        auto call = std::make_shared<open_call>(open_call{std::move(done), 0});
        auto& timers = *own->timers;
        call->limit = timers.schedule(limit, [call] {
            if (call->done) {
                std::exchange(call->done, nullptr)(failure(errc::timed_out, "no reply"));
            }
        });
        auto* peer = network_.find(address);
        if (peer == nullptr || !network_.passes(address_, address)) {
            return;
        }
        peer->timers->schedule(
            network_.latency_,
            [&network = network_, from = caller{address_, generation_}, to = std::string(address),
             generation = peer->generation, request = std::move(request), call] {
                const auto* receiver = network.find(to);
                if (receiver == nullptr || receiver->generation != generation || !receiver->serve) {
                    return;
                }
                receiver->serve(request, [&network, from, to, call](std::string reply) {
                    network.return_reply(from, to, call, std::move(reply));
                });
            });
    }

private:
    friend class memory_peer_network;

    memory_peer_network& network_;
    std::string address_;
    std::uint64_t generation_;
};

memory_peer_network::endpoint* memory_peer_network::find(std::string_view address)
{
    const auto it = endpoints_.find(address);
    return it == endpoints_.end() ? nullptr : &it->second;
}

void memory_peer_network::return_reply(const caller& to, std::string_view from,
                                       const std::shared_ptr<open_call>& call, std::string reply)
{
    auto* own = find(to.address);
    if (own == nullptr || own->generation != to.generation || !passes(from, to.address)) {
        return;
    }
    own->timers->schedule(latency_,
                          [call, timers = own->timers, reply = std::move(reply)]() mutable {
                              if (call->done) {
                                  timers->cancel(call->limit);
                                  std::exchange(call->done, nullptr)(std::move(reply));
                              }
                          });
}

std::unique_ptr<peer_transport> memory_peer_network::connect(std::string address,
                                                             timer_service& timers)
{
    const auto generation = ++last_generation_;
    endpoints_[address] = {&timers, nullptr, generation};
    return std::make_unique<transport>(*this, std::move(address), generation);
}

void memory_peer_network::listen(const std::string& address, handler fn)
{
    endpoints_[address].serve = std::move(fn);
}

void memory_peer_network::disconnect(std::string_view address)
{
    if (const auto it = endpoints_.find(address); it != endpoints_.end()) {
        endpoints_.erase(it);
    }
}

} // namespace cactusloom
