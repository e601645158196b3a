#include "metrics/latency_histogram.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <fmt/format.h>
#include <iterator>
#include <vector>

namespace cactusloom {

namespace {

// Bucket bounds in seconds. Latency objectives of deployments are between 0.1 and 3 s.
std::vector<double> bucket_bounds()
{
    return {0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.5, 2.5, 5, 10};
}

using histogram_type =
    decltype(boost::histogram::make_histogram(boost::histogram::axis::variable<>(bucket_bounds())));

} // namespace

struct latency_histogram::buckets {
    histogram_type counts =
        boost::histogram::make_histogram(boost::histogram::axis::variable<>(bucket_bounds()));
};

latency_histogram::latency_histogram() : buckets_(std::make_unique<buckets>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    buckets_->counts(seconds);
    sum_seconds_ += seconds;
}

void latency_histogram::format(std::string& out, std::string_view name,
                               std::string_view labels) const
{
    const auto& axis = buckets_->counts.axis(0);
    const std::string_view comma = labels.empty() ? "" : ",";
    double total = 0;
    for (int i = 0; i < axis.size(); ++i) {
        total += static_cast<double>(buckets_->counts.at(i));
        fmt::format_to(std::back_inserter(out), "{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels,
                       comma, axis.bin(i).upper(), total);
    }
    total += static_cast<double>(buckets_->counts.at(axis.size())); // above the last bound
    fmt::format_to(std::back_inserter(out), "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels,
                   comma, total);
    fmt::format_to(std::back_inserter(out), "{}_sum{{{}}} {}\n{}_count{{{}}} {}\n", name, labels,
                   sum_seconds_, name, labels, total);
}

} // namespace cactusloom
