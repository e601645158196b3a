// Measures the cost of the failure detector per node and the time to detect a dead peer. Runs in
// virtual time with fixed seeds; the CPU time includes the in-memory network, so it is an upper
// bound.
#include "tests/membership/cluster.h"

#include <algorithm>
#include <ctime>
#include <fmt/format.h>

using namespace cactusloom;
using namespace std::chrono_literals;

namespace {

struct traffic_sum {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

traffic_sum total_traffic(cluster& it)
{
    traffic_sum sum;
    for (const auto& [name, node] : it.nodes()) {
        const auto& traffic = node->detector->traffic();
        sum.bytes += traffic.bytes_sent;
        sum.messages += traffic.messages_sent;
    }
    return sum;
}

// Runs for `seconds` and prints the traffic and CPU time per node and second.
void measure(cluster& it, const char* phase, unsigned seconds)
{
    std::map<std::string, std::uint64_t> before;
    for (const auto& [name, node] : it.nodes()) {
        before[name] = node->detector->traffic().bytes_sent;
    }
    const auto start = total_traffic(it);
    const auto cpu = std::clock();
    it.run(std::chrono::seconds{seconds});
    const double cpu_ms = 1e3 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
    const auto end = total_traffic(it);
    std::uint64_t largest = 0;
    for (const auto& [name, node] : it.nodes()) {
        largest = std::max(largest, node->detector->traffic().bytes_sent - before[name]);
    }
    const auto node_seconds = static_cast<double>(it.nodes().size()) * seconds;
    fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.1f} | {:.3f} |\n", it.nodes().size(), phase,
               static_cast<double>(end.bytes - start.bytes) / node_seconds,
               static_cast<double>(largest) / seconds,
               static_cast<double>(end.messages - start.messages) / node_seconds,
               cpu_ms / node_seconds);
}

void start_instances(cluster& it, unsigned n)
{
    for (unsigned i = 1; i <= n; ++i) {
        it.start(i, i % 5 + 1);
    }
    it.publish_list();
}

void measure_cost(unsigned n)
{
    cluster it(1);
    start_instances(it, n);
    measure(it, "start of all at once, 10 s", 10);
    it.run(60s);
    measure(it, "quiet, 60 s", 60);
    it.kill("i002");
    measure(it, "one peer dies, 15 s", 15);
    std::map<std::string, bool, std::less<>> inside;
    for (const auto& [name, node] : it.nodes()) {
        inside[node->address] = node->data_centre == "dc3";
    }
    it.network().set_rule([&](std::string_view from, std::string_view to) {
        const auto a = inside.find(from);
        const auto b = inside.find(to);
        return a == inside.end() || b == inside.end() || a->second == b->second;
    });
    measure(it, "data centre cut, first 15 s", 15);
    measure(it, "data centre cut, next 60 s", 60);
    it.network().set_rule({});
    measure(it, "data centre back, 15 s", 15);
}

// Measures the time from the death of a node until the first and the last live node consider it
// dead.
void measure_detection(unsigned n)
{
    std::vector<double> first;
    std::vector<double> last;
    for (std::uint32_t seed = 1; seed <= (n > 50 ? 3U : 10U); ++seed) {
        cluster it(seed);
        start_instances(it, n);
        it.run(40s);
        it.kill("i002");
        const auto died = it.now();
        std::size_t seen = 0;
        while (seen < n - 1 && it.now() - died < 60s) {
            it.run(100ms);
            seen = 0;
            for (const auto& [name, node] : it.nodes()) {
                seen += it.view(name, "i002") == "dead" ? 1 : 0;
            }
            const double s = std::chrono::duration<double>(it.now() - died).count();
            if (seen > 0 && first.size() < seed) {
                first.push_back(s);
            }
            if (seen == n - 1) {
                last.push_back(s);
            }
        }
    }
    const auto median = [](std::vector<double>& values) {
        std::sort(values.begin(), values.end());
        return values.empty() ? -1.0 : values[values.size() / 2];
    };
    const auto a = median(first);
    const auto b = median(last);
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} |\n", n, last.size(), a,
               first.empty() ? -1.0 : first.back(), b, last.empty() ? -1.0 : last.back());
}

} // namespace

int main()
{
    const unsigned sizes[] = {9, 25, 50, 100, 200};
    fmt::print("Sent per node, without the transport's framing:\n\n");
    fmt::print("| Instances | Phase | Bytes/s | Bytes/s, busiest node | Messages/s | CPU ms/s |\n");
    fmt::print("|---|---|---|---|---|---|\n");
    for (const auto n : sizes) {
        measure_cost(n);
    }
    fmt::print("\nTime until a dead peer is held dead, s:\n\n");
    fmt::print("| Instances | Runs | First node, median | First node, worst | Last node, median | "
               "Last node, worst |\n|---|---|---|---|---|---|\n");
    for (const auto n : sizes) {
        measure_detection(n);
    }
    return 0;
}
