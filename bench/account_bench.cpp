// Measures bytes and CPU time per account record, and appends and bytes per second of whole
// deployments. Runs in virtual time with fixed seeds; the CPU time is that of this process and
// includes load generation.
#include "account/account_reader.h"
#include "account/account_writer.h"
#include "base/random.h"
#include "stand_in/virtual_timer_service.h"

#include <ctime>
#include <fmt/format.h>
#include <memory>
#include <vector>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Counts appends without storing them; confirms after 5 ms, the order of a synced disk write.
class counting_log final : public log_service {
public:
    explicit counting_log(timer_service& timers) : timers_(timers) {}

    std::uint64_t appends = 0;
    std::uint64_t bytes = 0;
    std::size_t largest = 0;

    void append(std::string_view, std::string content, append_callback done) override
    {
        ++appends;
        bytes += content.size();
        largest = std::max(largest, content.size());
        timers_.schedule(5ms, [this, done = std::move(done)] { done(log_offset{appends}); });
    }
    void read(std::string_view, log_offset, std::size_t, read_callback done) override
    {
        done(failure(errc::unavailable, "not stored"));
    }

private:
    timer_service& timers_;
};

struct profile {
    const char* name;
    unsigned tasks;
    unsigned workers; // in the deployment
};

account_record make_record(random_engine& random, std::uint64_t number, const profile& shape,
                           wall_time now)
{
    account_record it;
    it.receipt = {fmt::format("member-{:05}", draw_below(random, 50000)),
                  fmt::format("i042-65b1a0c2d3-dc3-0000f3a1-9c41.{:012x}", number), "stamp_check",
                  shape.tasks, now};
    it.decided = now + duration{draw_below(random, 2000)};
    it.answered = it.decided + duration{50000 + draw_below(random, 950000)};
    std::vector<std::uint32_t> starts(shape.workers);
    for (unsigned i = 0; i < shape.tasks; ++i) {
        ++starts[static_cast<std::size_t>(random()) % shape.workers];
    }
    for (std::size_t i = 0; i < starts.size(); ++i) {
        if (starts[i] > 0) {
            it.workers.push_back({fmt::format("worker-{:04}", i), starts[i]});
        }
    }
    it.outcome = account_outcome::completed;
    it.configuration_version = 1290417;
    it.answers = 1;
    return it;
}

void measure_record(const profile& shape, std::size_t per_batch)
{
    random_engine random(7);
    virtual_timer_service timers;
    account_batch batch;
    batch.instance = "i042";
    batch.incarnation = 1764828000000000;
    batch.number = 123456;
    batch.written = timers.wall_now();
    for (std::size_t i = 0; i < per_batch; ++i) {
        batch.ends.push_back(make_record(random, i, shape, timers.wall_now()));
    }
    const auto rounds = std::max<std::size_t>(1, 20000 / per_batch / (shape.tasks > 1 ? 20 : 1));
    std::size_t bytes = 0;
    auto start = cpu_seconds();
    std::string text;
    for (std::size_t i = 0; i < rounds; ++i) {
        text = encode_batch(batch);
        bytes += text.size();
    }
    const auto records = static_cast<double>(rounds * per_batch);
    const auto write_us = 1e6 * (cpu_seconds() - start) / records;
    start = cpu_seconds();
    for (std::size_t i = 0; i < rounds; ++i) {
        bytes += decode_batch(text).has_value() ? 0 : 1;
    }
    const auto read_us = 1e6 * (cpu_seconds() - start) / records;
    fmt::print("| {} | {} | {:.0f} | {:.2f} | {:.2f} |\n", shape.name, per_batch,
               static_cast<double>(bytes) / records, write_us, read_us);
}

// Runs one instance's share of the load of a deployment for a minute of virtual time.
void measure_deployment(const profile& shape, std::size_t instances, double requests_per_second)
{
    constexpr auto span = 60s;
    random_engine random(11);
    virtual_timer_service timers;
    counting_log log(timers);
    account_writer_settings settings;
    settings.instance = "i042";
    settings.incarnation = 1764828000000000;
    account_writer writer(log, timers, settings);
    writer.set_instances(instances);
    writer.start();
    const auto gap = duration{
        static_cast<duration::rep>(1e6 * static_cast<double>(instances) / requests_per_second)};
    std::uint64_t number = 0;
    std::function<void()> arrive = [&] {
        auto record = make_record(random, ++number, shape, timers.wall_now());
        writer.received(record.receipt);
        const auto run_time = record.answered - record.receipt.received;
        timers.schedule(run_time, [&writer, record = std::move(record)]() mutable {
            writer.ended(std::move(record));
        });
        timers.schedule(gap, arrive);
    };
    timers.schedule(gap, arrive);
    const auto start = cpu_seconds();
    timers.advance(span);
    const auto cpu = 1e3 * (cpu_seconds() - start) / 60;
    const auto all = static_cast<double>(instances) / 60;
    const auto& stats = writer.stats();
    fmt::print(
        "| {} | {} | {:.0f} | {:.1f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {:.2f} |\n",
        shape.name, instances, requests_per_second, all * static_cast<double>(log.appends),
        all * static_cast<double>(log.bytes) / 1000, static_cast<double>(log.largest) / 1000,
        static_cast<double>(log.bytes) /
            static_cast<double>(std::max<std::uint64_t>(stats.ends, 1)),
        100.0 * static_cast<double>(stats.receipts) /
            static_cast<double>(std::max<std::uint64_t>(stats.ends, 1)),
        100.0 * static_cast<double>(stats.dropped) / static_cast<double>(number), cpu);
}

} // namespace

int main()
{
    const profile single{"1 task", 1, 50};
    const profile job{"700 tasks, 50 workers", 700, 50};
    const profile wide{"700 tasks, 1000 workers", 700, 1000};
    fmt::print("| Request | Records a batch | Bytes/record | Write, us/record | Read, us/record |\n"
               "|---|---|---|---|---|\n");
    for (const std::size_t n : {1U, 13U, 36U, 500U}) {
        measure_record(single, n);
    }
    for (const std::size_t n : {1U, 12U}) {
        measure_record(job, n);
        measure_record(wide, n);
    }
    fmt::print("\n| Request | Instances | Requests/s | Appends/s, all | KB/s, all | Largest batch, "
               "KB | Bytes/request | Receipts, % | Dropped, % | CPU ms/s per node, with load |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t n : {9U, 50U, 200U}) {
        measure_deployment(single, n, 1300);
    }
    for (const std::size_t n : {9U, 50U, 200U}) {
        measure_deployment(single, n, 81000);
    }
    for (const std::size_t n : {9U, 50U, 200U}) {
        measure_deployment(n == 9 ? job : wide, n, 81000.0 / 700);
    }
    return 0;
}
