// Decides where a read may run now: at a replica that is fresh enough, or at the primary within
// its share of reads.
#pragma once

#include "rhubarbweir/coordination/proxy/freshness_tracker.hpp"
#include "rhubarbweir/coordination/proxy/holder_work.hpp"
#include "rhubarbweir/coordination/proxy/read_index.hpp"
#include "rhubarbweir/coordination/proxy/replica_selector.hpp"

namespace rhubarbweir {

struct ReadPlan
{
    // Empty while the read has to wait.
    std::optional<TargetId> target;
    bool isFallback = false;
    LogPosition minimum;
    // A read index round is needed before the read can run.
    bool needsRound = false;
    // When the plan may differ without any event.
    TimePoint againAt = TimePoint::max();
};

class ReadPlanner
{
public:
    explicit ReadPlanner(const ProxySettings &settings);

    ReadPlan plan(const HolderWork &work, const GroupView &group, const TargetPool &pool,
                  bool writesWait, TimePoint now) const;
    // The position that `work` has to see; empty while it is not known.
    std::optional<LogPosition> minimumFor(const HolderWork &work, TimePoint now) const;

    void roundCompleted(const ReadIndexRound &round);
    void started(const ReadPlan &plan);
    void fallbackEnded();
    // A write took a slot of the primary.
    void writeStarted();

private:
    bool primaryMayServe(const HolderWork &work, const GroupView &group, const TargetPool &pool,
                         bool writesWait, TimePoint now) const;

    const ProxySettings &settings;
    ReplicaSelector selector;
    FreshnessTracker freshness;
    // Fallback reads that hold a slot of the primary.
    std::uint32_t fallbacks = 0;
    // Fallback reads that may go before waiting writes; bounded.
    double credit = 1.0;
};

} // namespace rhubarbweir
