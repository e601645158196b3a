#pragma once

#include "cell/cell_controller.h"
#include "stand_in/memory_worker_fleet.h"
#include "stand_in/virtual_timer_service.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>

namespace cactusloom {

// A cell controller with in-memory workers, in virtual time.
struct cell_fixture {
    virtual_timer_service timers;
    memory_worker_fleet fleet{timers};
    std::unique_ptr<cell_controller> controller;
    std::map<std::string, job_outcome> outcomes;
    std::size_t fences = 0;

    // Default capacity of a worker: two tasks of one core.
    static constexpr task_demand two_cores = {2000, 1000, 0};

    void add_workers(int n)
    {
        for (int i = 0; i < n; ++i) {
            fleet.add(fmt::format("w{}", i), two_cores);
        }
    }

    // Creates a controller that knows the first `known` workers, by default all.
    std::unique_ptr<cell_controller> make_controller(std::size_t known = 1000)
    {
        auto it = std::make_unique<cell_controller>(timers, fleet, cell_settings{});
        it->on_fenced = [this] { ++fences; };
        const auto all = fleet.reports();
        it->set_workers(std::span(all).first(std::min(known, all.size())));
        return it;
    }

    // Claims the cell with a new controller and lets the workers answer.
    void take_control(std::uint64_t token = 1)
    {
        using namespace std::chrono_literals;
        controller = make_controller();
        controller->claim(token);
        timers.advance(20ms);
        controller->set_worker_list_time(timers.monotonic_now());
    }

    // Replaces the controller, as after a crash, by one that knows only the listed workers.
    void move_control(std::span<const worker_report> listed)
    {
        using namespace std::chrono_literals;
        controller = make_controller(0);
        controller->set_workers(listed);
        controller->claim(2);
        timers.advance(20ms);
        controller->set_worker_list_time(timers.monotonic_now());
    }

    // Submits a started job again as resumed, with the workers that the earlier controller used.
    // Checks that none of its tasks is started again within 0.5 s and that it completes within 3 s.
    void check_resumed_job_waits(const worker_set& used, job_request request)
    {
        using namespace std::chrono_literals;
        const auto id = request.id;
        const auto starts = fleet.total_starts();
        request.resumed = true;
        request.former_workers = used;
        submit(std::move(request));
        timers.advance(500ms);
        BOOST_TEST(fleet.total_starts() == starts);
        timers.advance(2500ms);
        BOOST_TEST(ended(id, job_end::completed));
        check_no_violation();
    }

    static job_request job(const std::string& id, std::uint32_t tasks,
                           duration estimate = std::chrono::milliseconds{100})
    {
        job_request out;
        out.id = id;
        out.payload = "payload";
        job_step step;
        step.count = tasks;
        step.demand = {1000, 100, 0};
        step.estimate = estimate;
        out.steps.push_back(step);
        out.terms = {"queue", "service", 0, 3, 1.6, std::chrono::milliseconds{60}};
        out.time_left = std::chrono::seconds{3};
        return out;
    }

    // The job as its requester submits it again after it lost the controller.
    static job_request resumed(job_request request)
    {
        request.resumed = true;
        return request;
    }

    // Tasks with an index below `short_tasks` take 100 ms, the others 800 ms.
    void set_short_tasks(std::uint32_t short_tasks)
    {
        fleet.work = [short_tasks](const std::string& name) {
            task_ref task;
            parse_task_name(name, task);
            return duration{std::chrono::milliseconds{task.index < short_tasks ? 100 : 800}};
        };
    }

    void submit(job_request request, const std::string& requester = "requester")
    {
        const auto id = request.id;
        controller->submit(std::move(request), {{requester}},
                           [this, id](const job_outcome& it) { outcomes[id] = it; });
    }

    bool ended(const std::string& id, job_end how) const
    {
        const auto it = outcomes.find(id);
        return it != outcomes.end() && it->second.end == how;
    }

    void check_no_violation() const
    {
        for (const auto& it : fleet.violations()) {
            BOOST_ERROR(it);
        }
    }
};

} // namespace cactusloom
