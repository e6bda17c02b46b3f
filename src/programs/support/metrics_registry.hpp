// Counters and latency histograms of a process, exported in the Prometheus text format.
#pragma once

#include "rhubarbweir/state/time.hpp"
#include "rhubarbweir/transport/http.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbweir {

class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    void count(std::string_view counter);
    // Records a value in the latency histogram `name`, whose bucket bounds double from 1 ms to 8 s.
    void measure(std::string_view name, Duration latency);

    // Sets a gauge. `sample` is its name in the text, with its labels if it has any.
    void set(std::string_view sample, std::uint64_t value);

    // Returns all counters, gauges and histograms, one sample per line. Histograms are cumulative,
    // with bounds in milliseconds.
    std::string text() const;

private:
    struct Histograms;

    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, std::uint64_t, std::less<>> gauges;
    std::unique_ptr<Histograms> histograms;
};

// HTTP path of the metrics.
inline constexpr const char *MetricsPath = "/metrics";

HttpResponse metricsResponse(const MetricsRegistry &metrics);

} // namespace rhubarbweir
