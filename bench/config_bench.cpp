// Measures the cost of the configuration modules at the size of design.md section 1.7, and the time
// until an edit is applied by all instances.

#include "base/random.h"
#include "config/config_follower.h"
#include "config/config_record_codec.h"
#include "stand_in/memory_log.h"
#include "stand_in/partitionable_log.h"
#include "stand_in/virtual_timer_service.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fmt/format.h>
#include <malloc.h>
#include <memory>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

constexpr int worker_count = 1000;
constexpr int team_count = 77;
constexpr int customer_count = 2000; // not specified in the design page
constexpr double changes_per_day = 4300;
constexpr double seconds_per_day = 86400;

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double heap_megabytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

std::string workers_text(int variant)
{
    std::string text =
        fmt::format("[workers]\nslots = {}\nmax_connections = 60\nlist = [\n", 8 + variant % 2);
    for (int n = 0; n < worker_count; ++n) {
        text += fmt::format("    {{ name = \"w{:04}\", address = \"10.{}.{}.{}:9400\", rack = "
                            "\"r{:03}\", data_centre = \"dc-{}\" }},\n",
                            n, 10 + n / 200, n % 200 / 8, 1 + n % 8, n / 8, n / 200);
    }
    return text + "]\n";
}

std::string teams_text(int variant)
{
    std::string text;
    for (int n = 0; n < team_count; ++n) {
        text +=
            fmt::format("[[teams]]\nname = \"team-{:02}\"\nweight = {}.0\nmax_in_flight = 100\n", n,
                        n == 0 ? 1 + variant % 9 : 1);
    }
    return text;
}

std::string customers_text(int variant)
{
    std::string text = "[customers]\nlist = [\n";
    for (int n = 0; n < customer_count; ++n) {
        text += fmt::format("    {{ id = \"customer-{:05}\", team = \"team-{:02}\" }},\n", n,
                            (n + (n == 0 ? variant : 0)) % team_count);
    }
    return text + "]\n";
}

std::string account_text(int variant)
{
    return fmt::format("[account]\nappends_per_second = {}\n", 1 + variant % 300);
}

std::string first_document()
{
    std::string owners = "[owners]\n";
    for (const auto it : document_sections()) {
        owners += fmt::format("{} = \"platform\"\n", it);
    }
    return owners +
           "[deployment]\nname = \"design-size\"\n"
           "[profile]\nresponse_time_weight = 0.5\nwasted_message_weight = 0.5\n"
           "[limits]\nmax_queued_tasks = 20000\n"
           "[[request_kinds]]\nname = \"stamp_check\"\nidempotent = false\nrun_time_ms = 100\n"
           "deadline_ms = 2000\n" +
           workers_text(0) + teams_text(0) + customers_text(0) + account_text(0);
}

struct section_kind {
    const char* name;
    std::string (*text)(int);
};

constexpr section_kind sections[] = {{"workers", workers_text},
                                     {"teams", teams_text},
                                     {"customers", customers_text},
                                     {"account", account_text}};

config_edit make_edit(const config_state_machine& state_machine, const section_kind& section, int n)
{
    return {fmt::format("edit-{}", n), "platform", section.name,
            state_machine.version_of(section.name), section.text(n)};
}

config_state_machine make_state_machine()
{
    config_state_machine state_machine;
    const config_edit first{"first", "platform", std::string(whole_document), 0, first_document()};
    const auto effect = state_machine.apply({0, {}, encode(first)});
    if (!effect.document_changed) {
        fmt::print("the first document was refused: {}\n", effect.edit->detail);
        std::exit(1);
    }
    return state_machine;
}

void apply_edit(config_state_machine& state_machine, const section_kind& section, int n,
                double& seconds)
{
    const log_record record{
        state_machine.next_offset(), {}, encode(make_edit(state_machine, section, n))};
    const auto start = cpu_seconds();
    const bool changed = state_machine.apply(record).document_changed;
    seconds += cpu_seconds() - start;
    if (!changed) {
        fmt::print("an edit was refused\n");
        std::exit(1);
    }
}

// Measures CPU time and bytes of an accepted edit, by section, and the memory of the state machine.
void measure_state_machine()
{
    const auto heap_before = heap_megabytes();
    auto state_machine = make_state_machine();
    int n = 0;
    for (const auto& section : sections) {
        constexpr int edits = 200;
        double seconds = 0;
        for (int i = 0; i < edits; ++i) {
            apply_edit(state_machine, section, ++n, seconds);
        }
        const auto bytes = encode(make_edit(state_machine, section, n)).size();
        fmt::print("ledger section={} edits={} cpu_us_per_edit={:.0f} record_bytes={}\n",
                   section.name, edits, seconds / edits * 1e6, bytes);
    }
    const auto heap = heap_megabytes() - heap_before;
    const auto start = cpu_seconds();
    const auto text = encode(state_machine.snapshot());
    const auto encoded = cpu_seconds();
    const auto decoded = decode_config_record(text);
    const auto restored =
        config_state_machine::from_snapshot(std::get<config_snapshot>(decoded.value()));
    fmt::print("ledger heap_mb={:.2f} history={} document_bytes={}\n", heap,
               state_machine.history().size(), state_machine.current().text().size());
    fmt::print("snapshot bytes={} encode_ms={:.1f} restore_ms={:.1f} restored={}\n", text.size(),
               (encoded - start) * 1e3, (cpu_seconds() - encoded) * 1e3, restored.has_value());
}

// Nine instances that follow one log in virtual time.
class fleet {
public:
    static constexpr int instance_count = 9;

    explicit fleet(const config_follower_options& options)
    {
        for (int n = 0; n < instance_count; ++n) {
            auto own = options;
            own.seed = static_cast<std::uint64_t>(n);
            links.push_back(std::make_unique<partitionable_log>(log));
            followers.push_back(
                std::make_unique<config_follower>(*links.back(), timers, nullptr, own));
            followers.back()->set_rank(static_cast<std::size_t>(n));
            followers.back()->subscribe([this](const config_in_force& it) {
                if (it.version == awaited && ++in_force_count == instance_count) {
                    in_force_at = timers.monotonic_now();
                }
            });
            // Instances start at different times, so that their polls are spread over the interval.
            timers.schedule(n * options.poll_interval / instance_count,
                            [this, n] { followers[static_cast<std::size_t>(n)]->start(); });
        }
        timers.advance(1s);
        submit(0, {"first", "platform", std::string(whole_document), 0, first_document()});
        timers.advance(1min);
    }

    void submit(std::size_t n, const config_edit& edit)
    {
        awaited = followers[0]->state_machine().next_offset();
        in_force_count = 0;
        followers[n]->submit_edit(edit, [](const result<edit_outcome>& reply) {
            if (!reply || reply.value().verdict != edit_verdict::accepted) {
                fmt::print("an edit was refused\n");
                std::exit(1);
            }
        });
    }

    virtual_timer_service timers;
    memory_log log{timers};
    std::vector<std::unique_ptr<partitionable_log>> links;
    std::vector<std::unique_ptr<config_follower>> followers;
    log_offset awaited = 0;
    int in_force_count = 0;
    monotonic_time in_force_at{};
};

void measure_time_until_in_force()
{
    fleet instances({});
    random_engine random(1);
    std::vector<double> times;
    constexpr int edits = 500;
    for (int n = 0; n < edits; ++n) {
        instances.timers.advance(duration{2'000'000 + draw_below(random, 4096) * 1000});
        const auto start = instances.timers.monotonic_now();
        const auto instance = draw_below(random, fleet::instance_count);
        instances.submit(instance,
                         make_edit(instances.followers[0]->state_machine(), sections[3], n));
        instances.timers.advance(7s);
        if (instances.in_force_count != fleet::instance_count) {
            fmt::print("edit {} was not in force everywhere after 7 s\n", n);
            std::exit(1);
        }
        times.push_back(static_cast<double>((instances.in_force_at - start).count()) * 1e-6);
    }
    std::sort(times.begin(), times.end());
    fmt::print("in_force instances={} edits={} p50_s={:.3f} p99_s={:.3f} max_s={:.3f}\n",
               fleet::instance_count, edits, times[edits / 2], times[edits * 99 / 100],
               times.back());
}

// Measures the configuration traffic and CPU time per node. The CPU time includes the in-memory
// log, so it is an upper bound; the bytes are record contents without request headers.
void measure_node(const char* mix, std::span<const section_kind> kinds)
{
    const auto heap_before = heap_megabytes();
    fleet instances({});
    std::size_t bytes = 0;
    for (const auto& it : instances.links) {
        bytes += it->bytes_received() + it->bytes_sent();
    }
    const auto reads = instances.log.read_count();
    constexpr int edits = 360;
    const auto interval =
        duration{static_cast<std::int64_t>(seconds_per_day / changes_per_day * 1e6)};
    const auto start = cpu_seconds();
    for (int n = 0; n < edits; ++n) {
        const auto& section = kinds[static_cast<std::size_t>(n) % kinds.size()];
        instances.submit(static_cast<std::size_t>(n) % fleet::instance_count,
                         make_edit(instances.followers[0]->state_machine(), section, n));
        instances.timers.advance(interval);
    }
    const auto cpu = cpu_seconds() - start;
    const auto seconds = edits * seconds_per_day / changes_per_day;
    std::size_t bytes_after = 0;
    for (const auto& it : instances.links) {
        bytes_after += it->bytes_received() + it->bytes_sent();
    }
    const auto heap = heap_megabytes() - heap_before;
    std::size_t log_bytes = 0;
    for (const auto& it : instances.log.page("config").records) {
        log_bytes += it.content.size();
    }
    constexpr double node_count = fleet::instance_count;
    fmt::print("node mix={} changes_per_day={:.0f} cpu_percent_of_core={:.4f} (limit 4.5) "
               "content_bytes_per_s={:.0f} (limit 9000) reads_per_s={:.2f} heap_mb={:.2f} "
               "(limit 32)\n",
               mix, changes_per_day, cpu / seconds / node_count * 100,
               static_cast<double>(bytes_after - bytes) / seconds / node_count,
               static_cast<double>(instances.log.read_count() - reads) / seconds / node_count,
               (heap - static_cast<double>(log_bytes) / (1 << 20)) / node_count);
}

// Measures the start of an instance that reads the whole log without the help of peers.
void measure_cold_start()
{
    fleet instances({});
    for (int n = 0; n < 4300; ++n) {
        instances.submit(0, make_edit(instances.followers[0]->state_machine(),
                                      sections[n % 50 == 0 ? 0 : 3], n));
        instances.timers.advance(2s);
    }
    partitionable_log link(instances.log);
    config_follower new_follower(link, instances.timers, nullptr, {});
    const auto start = cpu_seconds();
    const auto virtual_start = instances.timers.monotonic_now();
    new_follower.start();
    while (!new_follower.is_ready()) {
        instances.timers.run_next();
    }
    fmt::print("cold_start records={} cpu_ms={:.0f} virtual_ms={} bytes={} applied={}\n",
               instances.log.page("config").end, (cpu_seconds() - start) * 1e3,
               (instances.timers.monotonic_now() - virtual_start).count() / 1000,
               link.bytes_received(), new_follower.counts().records_applied);
}

} // namespace

int main()
{
    measure_state_machine();
    measure_time_until_in_force();
    measure_node("even", sections);
    measure_node("workers_only", std::span(sections).first(1));
    measure_cold_start();
    return 0;
}
