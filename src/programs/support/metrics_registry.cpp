// See metrics_registry.hpp.
#include "programs/support/metrics_registry.hpp"

#include "programs/support/event_log.hpp"

#include <absl/strings/str_cat.h>
#include <boost/histogram.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace rhubarbweir {

namespace {

namespace bh = boost::histogram;

// The bucket bounds are powers of two, in milliseconds.
using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
constexpr unsigned LatencyBucketCount = 13;
constexpr double MinLatencyMs = 1;
constexpr double MaxLatencyMs = 8192;

using LatencyHistogram = decltype(bh::make_histogram_with(
    std::vector<std::uint64_t>(), LatencyAxis(LatencyBucketCount, MinLatencyMs, MaxLatencyMs)));

LatencyHistogram makeLatencyHistogram()
{
    return bh::make_histogram_with(std::vector<std::uint64_t>(),
                                   LatencyAxis(LatencyBucketCount, MinLatencyMs, MaxLatencyMs));
}

} // namespace

struct MetricsRegistry::Histograms
{
    std::map<std::string, LatencyHistogram, std::less<>> byName;
};

MetricsRegistry::MetricsRegistry()
    : histograms(std::make_unique<Histograms>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(std::string_view counter)
{
    const auto found = this->counters.find(counter);
    if (found == this->counters.end())
        this->counters.emplace(std::string(counter), 1);
    else
        ++found->second;
}

void MetricsRegistry::measure(std::string_view name, Duration latency)
{
    auto found = this->histograms->byName.find(name);
    if (found == this->histograms->byName.end())
        found = this->histograms->byName.emplace(std::string(name), makeLatencyHistogram()).first;
    found->second(std::chrono::duration<double, std::milli>(latency).count());
}

void MetricsRegistry::set(std::string_view sample, std::uint64_t value)
{
    this->gauges.insert_or_assign(std::string(sample), value);
}

std::string MetricsRegistry::text() const
{
    std::string lines;
    for (const auto &[sample, value] : this->gauges)
        absl::StrAppend(&lines, sample, " ", value, "\n");
    for (const auto &[name, value] : this->counters)
        absl::StrAppend(&lines, "rhubarbweir_events_total{event=\"", name, "\"} ", value, "\n");
    for (const auto &[name, latencyHistogram] : this->histograms->byName) {
        std::uint64_t cumulativeCount = 0;
        for (const auto &bucket : bh::indexed(latencyHistogram, bh::coverage::all)) {
            cumulativeCount += *bucket;
            const double upper = bucket.bin().upper();
            const std::string bound =
                upper > MaxLatencyMs ? std::string("+Inf") : absl::StrCat(upper);
            absl::StrAppend(&lines, "rhubarbweir_latency_ms_bucket{kind=\"", name, "\",le=\"",
                            bound, "\"} ", cumulativeCount, "\n");
        }
    }
    return lines;
}

HttpResponse metricsResponse(const MetricsRegistry &metrics)
{
    HttpResponse response;
    response.status = 200;
    response.contentType = "text/plain; version=0.0.4";
    response.body = absl::StrCat(metrics.text(), "rhubarbweir_log_lines_dropped_total ",
                                 droppedLogLines(), "\n");
    return response;
}

} // namespace rhubarbweir
