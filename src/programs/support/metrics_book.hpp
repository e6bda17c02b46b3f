// Counters and latency histograms of a process, as text for its metrics address.
#pragma once

#include "rhubarbweir/state/time.hpp"
#include "rhubarbweir/transport/http.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbweir {

class MetricsBook
{
public:
    MetricsBook();
    ~MetricsBook();
    MetricsBook(const MetricsBook &) = delete;
    MetricsBook &operator=(const MetricsBook &) = delete;

    void count(std::string_view counter);
    // Adds to the latency histogram `name`; buckets run from 1 ms to 8 s by factors of two.
    void measure(std::string_view name, Duration latency);

    // All counters and histograms, one sample a line; histograms are cumulative with bounds in
    // milliseconds.
    std::string text() const;

private:
    struct Histograms;

    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::unique_ptr<Histograms> histograms;
};

// Path of the metrics beside a program's other HTTP calls.
inline constexpr const char *MetricsPath = "/metrics";

HttpResponse metricsResponse(const MetricsBook &metrics);

} // namespace rhubarbweir
