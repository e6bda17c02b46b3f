// See buffer_limit.hpp.
#include "programs/support/buffer_limit.hpp"

#include "programs/support/event_sampler.hpp"
#include "programs/support/metrics_registry.hpp"
#include "rhubarbweir/transport/event_loop.hpp"

#include <absl/strings/str_cat.h>

namespace rhubarbweir {

namespace {

// The rest is for the state of the process, copies of messages in work and what the allocator
// cannot return.
constexpr std::uint64_t BufferedPart = 3;

} // namespace

void limitBuffers(EventLoop &loop, std::uint64_t memoryLimit, MetricsRegistry &metrics,
                  EventSampler &sampler)
{
    BufferBudget &budget = *loop.bufferBudget();
    const std::uint64_t limit = memoryLimit / BufferedPart;
    budget.setLimit(limit);
    budget.onEvicted = [&metrics, &sampler, limit](std::size_t bytes) {
        metrics.count("connection_evicted");
        sampler.log("connection_evicted",
                    {{"cause", "buffers are at their limit"},
                     {"bytes", absl::StrCat(bytes)},
                     {"limit", absl::StrCat(limit)}},
                    false, EventLoop::now());
    };
}

} // namespace rhubarbweir
