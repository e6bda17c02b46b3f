// The part of a process's memory that its connections may use.
#pragma once

#include <cstdint>

namespace rhubarbweir {

class EventLoop;
class EventSampler;
class MetricsRegistry;

// Limits the buffers of the loop's connections to a part of `memoryLimit`, in bytes, and logs and
// counts the connections that are closed for it. `metrics` and `sampler` have to outlive the last
// event of the loop.
void limitBuffers(EventLoop &loop, std::uint64_t memoryLimit, MetricsRegistry &metrics,
                  EventSampler &sampler);

} // namespace rhubarbweir
