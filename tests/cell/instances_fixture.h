#pragma once

#include "base/glib_timer_service.h"
#include "cell/cell_service.h"
#include "cell_fixture.h"
#include "stand_in/loopback_proxy.h"

#include <glib.h>

namespace cactusloom {

// Several instances in one process, linked over loopback, with workers in memory.
struct instances_fixture {
    struct member {
        std::unique_ptr<instance_mesh> mesh;
        std::unique_ptr<cell_service> cells;
    };

    glib_timer_service timers;
    poller events;
    memory_worker_fleet fleet{timers};
    std::map<std::string, std::unique_ptr<loopback_proxy>> relays;
    std::map<std::string, member> members;
    std::map<std::string, instance_address> addresses;
    std::map<std::string, job_outcome> outcomes;
    std::vector<worker_report> workers; // as the platform lists them

    instances_fixture()
    {
        for (int i = 0; i < 4; ++i) {
            fleet.add(fmt::format("w{}", i), cell_fixture::two_cores);
        }
        workers = fleet.reports();
    }

    // Adds workers so that there are too many for one cell, half of them in "dc-2".
    void split_workers()
    {
        for (int i = 0; i < 130; ++i) {
            fleet.add(fmt::format("more-{}", i), cell_fixture::two_cores);
        }
        workers = fleet.reports();
        for (std::size_t i = 0; i < workers.size(); ++i) {
            workers[i].data_centre = i % 2 == 0 ? "dc" : "dc-2";
        }
    }

    // The instance that controls a cell, or empty.
    std::string controller_of(const std::string& cell) const
    {
        for (const auto& [name, it] : members) {
            for (const auto& view : it.mesh->claim_holders()) {
                if (std::ranges::any_of(view.claims,
                                        [&](const auto& claim) { return claim.cell == cell; })) {
                    return view.name;
                }
            }
        }
        return {};
    }

    // If `relay_port` is set, the other instances reach this one through a relay. `own_events` is
    // the poller of the instance, by default the one that it shares with the others.
    void start(const std::string& name, int port, const std::string& data_centre = "dc",
               int relay_port = 0, poller* own_events = nullptr)
    {
        const auto own_address = fmt::format("127.0.0.1:{}", port);
        instance_address self{name, own_address, data_centre, 1.0,
                              timers.wall_now().time_since_epoch().count() / 1000};
        if (relay_port != 0) {
            self.address = fmt::format("127.0.0.1:{}", relay_port);
            auto relay = loopback_proxy::start(events, timers, self.address, own_address);
            BOOST_REQUIRE(relay);
            relays[name] = std::move(relay.value());
        }
        addresses[name] = self;
        auto& it = members[name];
        it.mesh = std::make_unique<instance_mesh>(own_events == nullptr ? events : *own_events,
                                                  timers, self);
        it.cells = std::make_unique<cell_service>(timers, *it.mesh, fleet, cell_settings{});
        it.cells->on_claim = [this, name] {
            timers.schedule(std::chrono::milliseconds{5}, [this, name] {
                const auto found = members.find(name); // it may have been stopped meanwhile
                if (found != members.end()) {
                    found->second.cells->set_worker_list_time(timers.monotonic_now());
                }
            });
        };
        BOOST_REQUIRE(it.mesh->listen(own_address));
        std::vector<instance_address> known;
        for (const auto& [other, address] : addresses) {
            known.push_back(address);
        }
        it.mesh->update_instances(known);
        it.cells->set_workers(workers);
        it.cells->note_instances_known();
    }

    void stop(const std::string& name)
    {
        members[name].cells.reset();
        members[name].mesh.reset();
        members.erase(name);
    }

    template<typename Condition>
    bool run_until(Condition&& done, duration limit)
    {
        const auto end = timers.monotonic_now() + limit;
        while (!done() && timers.monotonic_now() < end) {
            g_main_context_iteration(nullptr, FALSE);
        }
        return done();
    }

    // All links are open and exactly one instance controls workers.
    bool is_settled() const
    {
        return controller().size() == 1 && std::ranges::all_of(members, [this](const auto& it) {
                   const auto views = it.second.mesh->views();
                   return views.size() == members.size() &&
                          std::ranges::all_of(views, &instance_view::alive) &&
                          it.second.cells->has_controller();
               });
    }

    std::string controller() const
    {
        std::string found;
        for (const auto& [name, it] : members) {
            if (it.cells->controls_any()) {
                found += name;
            }
        }
        return found;
    }

    void submit(const std::string& name, job_request request)
    {
        const auto id = request.id;
        members[name].cells->submit(std::move(request),
                                    [this, id](const job_outcome& it) { outcomes[id] = it; });
    }

    bool completed(const std::string& id) const
    {
        const auto it = outcomes.find(id);
        return it != outcomes.end() && it->second.end == job_end::completed;
    }
};

} // namespace cactusloom
