// Decides where a read may run: on a replica that is fresh enough or, within a limited share of
// its slots, on the primary.
#pragma once

#include "rhubarbweir/coordination/proxy/freshness_tracker.hpp"
#include "rhubarbweir/coordination/proxy/pending_request.hpp"
#include "rhubarbweir/coordination/proxy/read_index.hpp"
#include "rhubarbweir/coordination/proxy/replica_selector.hpp"

namespace rhubarbweir {

struct ReadPlan
{
    // Empty if the read has to wait.
    std::optional<TargetId> target;
    bool isFallback = false;
    LogPosition minimum;
    // A read index round is needed before the read can run.
    bool needsRound = false;
    // When planning again may give another result without a further event.
    TimePoint replanAt = TimePoint::max();
};

class ReadPlanner
{
public:
    explicit ReadPlanner(const ProxySettings &settings);

    ReadPlan plan(const PendingRequest &pending, const GroupView &group, const TargetPool &pool,
                  bool hasWaitingWrites, TimePoint now) const;
    // Log position that the read has to cover; empty until it is known.
    std::optional<LogPosition> minimumFor(const PendingRequest &pending, TimePoint now) const;

    void roundCompleted(const ReadIndexRound &round);
    void readStarted(const ReadPlan &plan);
    void fallbackEnded();
    // A write took a slot of the primary.
    void writeStarted();

private:
    bool primaryMayServe(const PendingRequest &pending, const GroupView &group,
                         const TargetPool &pool, bool hasWaitingWrites, TimePoint now) const;

    const ProxySettings &settings;
    ReplicaSelector selector;
    FreshnessTracker freshness;
    // Fallback reads that occupy a slot of the primary.
    std::uint32_t runningFallbacks = 0;
    // Number of fallback reads that may run ahead of waiting writes; at most MaxFallbackCredit.
    double fallbackCredit = 1.0;
};

} // namespace rhubarbweir
