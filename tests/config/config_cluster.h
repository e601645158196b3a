#pragma once

#include "config/config_follower.h"
#include "config/config_record_codec.h"
#include "config/example_text.h"
#include "stand_in/memory_log.h"
#include "stand_in/partitionable_log.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace cactusloom {

// Followers of one log in virtual time, and the checks that must hold after every fault.
class config_cluster {
public:
    struct instance final : config_peer_source {
        instance(config_cluster& owner, std::uint64_t seed) : cluster(owner), link(owner.log)
        {
            auto options = cluster.options;
            options.seed = seed;
            follower.emplace(link, cluster.timers, this, options);
            follower->set_rank(cluster.instances.size());
            follower->subscribe([this](const config_in_force& it) {
                BOOST_TEST(it.version >= newest, "an instance went back to an older version");
                newest = it.version;
                first = first.value_or(it.version);
            });
        }

        void fetch(log_offset newer_than, callback done) override
        {
            std::vector<std::string> states;
            for (const auto& it : cluster.instances) {
                if (it.get() != this && has_peers && it->has_peers) {
                    states.push_back(it->follower->state_for_peer(newer_than));
                }
            }
            cluster.timers.schedule(std::chrono::milliseconds{3}, [states, done] { done(states); });
        }

        bool is(config_log_state state) const { return follower->log_state() == state; }
        const deployment& settings() const { return *follower->in_force().settings; }
        void set_disconnected(bool from_log, bool from_peers)
        {
            link.set_partitioned(from_log);
            has_peers = !from_peers;
        }

        config_cluster& cluster;
        partitionable_log link;
        bool has_peers = true;
        log_offset newest = 0;
        std::optional<log_offset> first; // version that was in force first
        std::optional<config_follower> follower;
    };

    config_cluster()
    {
        options.snapshot_delay_per_rank = std::chrono::seconds{1};
        options.retention = std::chrono::hours{1};
    }

    instance& add(bool with_peers = true, bool with_log = true)
    {
        instances.push_back(std::make_unique<instance>(*this, instances.size() + 1));
        instances.back()->set_disconnected(!with_log, !with_peers);
        instances.back()->follower->start();
        return *instances.back();
    }

    instance& at(std::size_t n) { return *instances[n]; }

    // Advances virtual time in steps, so that the reference reads records before retention drops
    // them.
    void run(duration span)
    {
        constexpr duration step = std::chrono::milliseconds{250};
        for (; span > duration::zero(); span -= step) {
            timers.advance(std::min(step, span));
            for (const auto& it : log.page("config").records) {
                if (it.offset == reference.next_offset()) {
                    reference.apply(it);
                }
            }
        }
    }

    void submit(std::size_t n, const std::string& id, std::string author,
                const std::string& section, std::string content)
    {
        const auto base = at(n).follower->state_machine().version_of(section);
        at(n).follower->submit_edit(
            {id, std::move(author), section, base, std::move(content)},
            [this, id](result<edit_outcome> reply) { replies.insert_or_assign(id, reply); });
    }
    void submit_rate(std::size_t n, const std::string& id, int rate)
    {
        submit(n, id, "accounts", "account", rate_text(rate));
    }
    static std::string rate_text(int rate)
    {
        return fmt::format("[account]\nappends_per_second = {}\n", rate);
    }

    // The verdict on an edit by name, or the error of its reply, or "open".
    std::string reply(const std::string& id) const
    {
        const auto it = replies.find(id);
        if (it == replies.end()) {
            return "open";
        }
        return it->second ? to_string(it->second.value().verdict)
                          : to_string(it->second.error().code);
    }

    void append_raw(std::string record)
    {
        log.append("config", std::move(record), [](const result<log_offset>&) {});
        run(std::chrono::milliseconds{250});
    }

    // Checks that all instances and the reference have equal verdicts for the same offset, and
    // equal documents after the same records.
    void check_agreement() const
    {
        for (const auto& it : instances) {
            check_equal(it->follower->state_machine(), reference);
            for (const auto& other : instances) {
                check_equal(it->follower->state_machine(), other->follower->state_machine());
            }
            BOOST_TEST(it->follower->counts().refused_states == 0U);
        }
    }

    // Checks that all instances have read the whole log and have the same document in force.
    void check_convergence() const
    {
        for (const auto& it : instances) {
            BOOST_TEST(it->is(config_log_state::following));
            BOOST_TEST(it->follower->state_machine().chain_digest() == reference.chain_digest());
            BOOST_TEST(it->follower->in_force().version == reference.document_version());
        }
    }

    virtual_timer_service timers;
    memory_log log{timers};
    config_follower_options options;
    std::vector<std::unique_ptr<instance>> instances;
    std::map<std::string, result<edit_outcome>> replies;
    config_state_machine reference; // has read every record that was ever stored

private:
    static void check_equal(const config_state_machine& a, const config_state_machine& b)
    {
        const bool at_same_offset = a.next_offset() == b.next_offset();
        auto y = b.history().begin();
        for (const auto& x : a.history()) {
            while (y != b.history().end() && y->offset < x.offset) {
                ++y;
            }
            if (y == b.history().end() || y->offset != x.offset) {
                continue;
            }
            // Repeats are counted later, so they are comparable at the same offset only.
            auto z = *y;
            z.repeats = at_same_offset ? y->repeats : x.repeats;
            if (!(x == z)) {
                BOOST_ERROR("offset " << x.offset << ": " << to_string(x.verdict) << ' ' << x.detail
                                      << " and " << to_string(z.verdict) << ' ' << z.detail);
            }
        }
        if (at_same_offset && a.has_document()) {
            BOOST_TEST(a.chain_digest() == b.chain_digest());
            BOOST_TEST(a.current().text() == b.current().text());
            BOOST_TEST(a.history().size() == b.history().size());
        }
    }
};

} // namespace cactusloom
