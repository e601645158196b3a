// Fault injection of the soak test.
#include "soak.h"

#include <array>
#include <csignal>
#include <fmt/format.h>

namespace cactusloom {

namespace {

constexpr duration inject_interval = std::chrono::milliseconds{600};
constexpr duration slow_down_interval = std::chrono::milliseconds{1000};
constexpr std::uint32_t min_fault_ms = 300;
constexpr std::uint32_t max_fault_ms = 2800;

} // namespace

void soak::signal(const process& it, int number)
{
    if (it.pid > 0) {
        kill(it.pid, number);
    }
}

void soak::inject()
{
    if (faults_over_ || !sending_) {
        return;
    }
    timers_.schedule(inject_interval, [this] { inject(); });
    // A seed selects faults by index, so the order must not change. Network faults come last.
    constexpr std::array<fault, 15> faults = {
        &soak::kill_instance,       &soak::stop_instance,
        &soak::pause_instance,      &soak::kill_several_instances,
        &soak::silence_store,       &soak::refuse_at_store,
        &soak::silence_worker,      &soak::lose_replies,
        &soak::delay_starts,        &soak::fail_tasks,
        &soak::reload_instance,     &soak::delay_connections,
        &soak::block_one_direction, &soak::blackhole_connections,
        &soak::close_connections,
    };
    constexpr std::uint32_t without_network = 11;
    auto& instance = processes_[draw(static_cast<std::uint32_t>(processes_.size()))];
    auto& worker =
        world_.fleet().fault(fmt::format("w{}", draw(static_cast<std::uint32_t>(layout_.workers))));
    const fault_target on{
        &instance, &worker,
        std::chrono::milliseconds{min_fault_ms + draw(max_fault_ms - min_fault_ms)}};
    const auto n =
        faults_ == fault_set::all ? static_cast<std::uint32_t>(faults.size()) : without_network;
    (this->*faults[draw(n)])(on);
}

// Each second, lets an instance run only in slices for up to 3 s.
void soak::slow_down_instance()
{
    if (faults_over_ || !sending_) {
        return;
    }
    timers_.schedule(slow_down_interval, [this] { slow_down_instance(); });
    auto& it = any_process();
    if (it.pid > 0) {
        const duration length = std::chrono::milliseconds{500 + draw(2500)};
        run_next_slice(it, it.pid, timers_.monotonic_now() + length);
    }
}

void soak::run_next_slice(process& it, pid_t pid, monotonic_time end)
{
    constexpr std::uint32_t max_slice_ms = 40;
    constexpr std::uint32_t min_gap_ms = 200;
    constexpr std::uint32_t max_gap_ms = 990;
    if (it.pid != pid) {
        return; // it has ended
    }
    if (timers_.monotonic_now() >= end) {
        signal(it, SIGCONT);
        return;
    }
    signal(it, SIGSTOP);
    const duration gap = std::chrono::milliseconds{min_gap_ms + draw(max_gap_ms - min_gap_ms)};
    timers_.schedule(gap, [this, &it, pid, end] {
        if (it.pid != pid) {
            return;
        }
        signal(it, SIGCONT);
        timers_.schedule(std::chrono::milliseconds{1 + draw(max_slice_ms)},
                         [this, &it, pid, end] { run_next_slice(it, pid, end); });
    });
}

void soak::kill_instance(const fault_target& on)
{
    signal(*on.instance, SIGKILL);
}

void soak::stop_instance(const fault_target& on)
{
    signal(*on.instance, SIGTERM);
}

void soak::pause_instance(const fault_target& on)
{
    signal(*on.instance, SIGSTOP);
    timers_.schedule(on.length, [pid = on.instance->pid, it = on.instance] {
        if (it->pid == pid) {
            signal(*it, SIGCONT);
        }
    });
}

void soak::kill_several_instances(const fault_target& /*on*/)
{
    for (const auto& it : processes_) {
        if (it.pid > 0 && draw(4) == 0) {
            signal(it, SIGKILL);
        }
    }
}

void soak::silence_store(const fault_target& on)
{
    world_.store = platform_adapter::simulated_platform::store_state::silent;
    timers_.schedule(on.length, [this] {
        world_.store = platform_adapter::simulated_platform::store_state::up;
    });
}

void soak::refuse_at_store(const fault_target& on)
{
    world_.store = platform_adapter::simulated_platform::store_state::refusing;
    timers_.schedule(on.length, [this] {
        world_.store = platform_adapter::simulated_platform::store_state::up;
    });
}

void soak::silence_worker(const fault_target& on)
{
    on.worker->silent = true;
    timers_.schedule(on.length, [it = on.worker] { it->silent = false; });
}

void soak::lose_replies(const fault_target& on)
{
    on.worker->lost_replies = 0.3;
    timers_.schedule(on.length, [it = on.worker] { it->lost_replies = 0; });
}

void soak::delay_starts(const fault_target& on)
{
    on.worker->delayed_starts = 0.3;
    timers_.schedule(on.length, [it = on.worker] { it->delayed_starts = 0; });
}

void soak::fail_tasks(const fault_target& on)
{
    on.worker->fails_all = true;
    timers_.schedule(on.length, [it = on.worker] { it->fails_all = false; });
}

void soak::reload_instance(const fault_target& on)
{
    signal(*on.instance, SIGHUP);
}

void soak::delay_connections(const fault_target& on)
{
    auto& proxy = any_proxy();
    proxy.delay(std::chrono::milliseconds{20 + draw(180)});
    timers_.schedule(on.length, [&proxy] { proxy.heal(); });
}

void soak::block_one_direction(const fault_target& on)
{
    auto& proxy = any_proxy();
    draw(2) == 0 ? proxy.block_to_target() : proxy.block_to_client();
    timers_.schedule(on.length, [&proxy] { proxy.heal(); });
}

void soak::blackhole_connections(const fault_target& /*on*/)
{
    any_proxy().blackhole_open_connections();
}

void soak::close_connections(const fault_target& /*on*/)
{
    any_proxy().close_open_connections();
}

void soak::clear_all_faults()
{
    world_.store = platform_adapter::simulated_platform::store_state::up;
    for (int i = 0; i < layout_.workers; ++i) {
        world_.fleet().fault(fmt::format("w{}", i)) = {};
    }
    for (const auto& it : proxies_) {
        it->heal();
    }
    for (const auto& it : processes_) {
        signal(it, SIGCONT);
    }
}

} // namespace cactusloom
