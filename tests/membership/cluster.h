#pragma once

#include "membership/failure_detector.h"
#include "stand_in/memory_peer_network.h"
#include "stand_in/virtual_timer_service.h"

#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusloom {

// Timer service of one instance, which can be paused while time advances for the others.
class pausable_timer_service final : public timer_service {
public:
    explicit pausable_timer_service(timer_service& inner) : inner_(inner) {}

    monotonic_time monotonic_now() const override { return inner_.monotonic_now(); }
    wall_time wall_now() const override { return inner_.wall_now(); }
    timer_id schedule(duration delay, std::function<void()> fn) override
    {
        return inner_.schedule(delay, [this, fn = std::move(fn)]() mutable {
            if (paused_) {
                deferred_.push_back(std::move(fn));
            }
            else {
                fn();
            }
        });
    }
    void cancel(timer_id id) override { inner_.cancel(id); }

    void pause() { paused_ = true; }
    void resume()
    {
        paused_ = false;
        for (auto& fn : std::exchange(deferred_, {})) {
            inner_.schedule(duration::zero(), std::move(fn));
        }
    }

private:
    timer_service& inner_;
    bool paused_ = false;
    std::vector<std::function<void()>> deferred_;
};

// Instances of several data centres in virtual time.
class cluster {
public:
    struct node {
        std::string name;
        std::string data_centre;
        std::string address;
        std::unique_ptr<pausable_timer_service> timers;
        std::unique_ptr<peer_transport> transport;
        std::unique_ptr<failure_detector> detector;
        unsigned deaths_seen = 0; // changes of any member to dead that this node observed
    };

    explicit cluster(std::uint32_t seed) : seed_(seed) {}

    // Starts an instance "i<number>" that finds the others through the current list.
    node& start(unsigned number, unsigned data_centre, std::uint64_t incarnation = 1)
    {
        const auto name = fmt::format("i{:03}", number);
        list_[name] = {name, fmt::format("dc{}", data_centre), fmt::format("10.0.0.{}:80", number),
                       false};
        return start_unlisted(list_[name], incarnation);
    }

    node& start_unlisted(const seed_peer& peer, std::uint64_t incarnation)
    {
        auto& it = nodes_[peer.name];
        if (it) {
            // The old process keeps running at its address, as if its replacement came too early.
            retired_.push_back(std::move(it));
        }
        it = std::make_unique<node>();
        it->name = peer.name;
        it->data_centre = peer.data_centre;
        it->address = peer.address;
        it->timers = std::make_unique<pausable_timer_service>(timers_);
        it->transport = network_.connect(it->address, *it->timers);
        member self;
        self.name = peer.name;
        self.data_centre = peer.data_centre;
        self.address = peer.address;
        self.incarnation = incarnation;
        it->detector = std::make_unique<failure_detector>(*it->timers, *it->transport, self, seed_);
        auto* detector = it->detector.get();
        network_.listen(it->address, [detector](std::string_view request, auto reply) {
            detector->handle(request, std::move(reply));
        });
        it->detector->on_change([node = it.get()](const member_change& change) {
            node->deaths_seen += change.now.state == member_state::dead ? 1 : 0;
        });
        it->detector->set_seed_peers(seed_peers());
        it->detector->start();
        return *it;
    }

    // Ends a process without a leave notice.
    void kill(const std::string& name)
    {
        auto it = std::move(nodes_[name]);
        nodes_.erase(name);
        network_.disconnect(it->address);
        it->detector.reset();
        retired_.push_back(std::move(it));
    }

    // Announces that the instance leaves, sends leave notices and ends the process.
    void leave(const std::string& name)
    {
        (*this)[name].detector->announce_leaving();
        run(std::chrono::seconds{2});
        (*this)[name].detector->leave([] {});
        run(std::chrono::seconds{1});
        kill(name);
    }

    void unlist(const std::string& name) { list_.erase(name); }
    void publish_list()
    {
        for (auto& [name, it] : nodes_) {
            it->detector->set_seed_peers(seed_peers());
        }
    }

    void run(duration span) { timers_.advance(span); }
    monotonic_time now() const { return timers_.monotonic_now(); }
    memory_peer_network& network() { return network_; }
    node& operator[](const std::string& name) { return *nodes_.at(name); }
    std::map<std::string, std::unique_ptr<node>>& nodes() { return nodes_; }

    // The state of `name` in the table of `observer`, or "unknown".
    std::string view(const std::string& observer, const std::string& name)
    {
        const auto* entry = (*this)[observer].detector->members().find(name);
        return entry == nullptr ? "unknown" : to_string(entry->info.state);
    }

    // True if every running node sees exactly the running nodes as live, all of them alive.
    bool views_agree()
    {
        for (auto& [name, it] : nodes_) {
            const auto& table = it->detector->members();
            if (table.live_count() != nodes_.size()) {
                return false;
            }
            for (const auto* other : table.live_members()) {
                if (!nodes_.contains(other->name) || other->state != member_state::alive) {
                    return false;
                }
            }
        }
        return true;
    }

    unsigned deaths_seen() const
    {
        unsigned n = 0;
        for (const auto& [name, it] : nodes_) {
            n += it->deaths_seen;
        }
        return n;
    }

private:
    std::vector<seed_peer> seed_peers() const
    {
        std::vector<seed_peer> all;
        for (const auto& [name, it] : list_) {
            all.push_back(it);
        }
        return all;
    }

    std::uint32_t seed_;
    virtual_timer_service timers_;
    memory_peer_network network_{std::chrono::milliseconds{1}};
    std::map<std::string, seed_peer> list_;
    std::vector<std::unique_ptr<node>> retired_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
};

} // namespace cactusloom
