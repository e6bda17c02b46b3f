// The leader's side of the fleet-wide limits of teams: grants tokens, of which one pays for one
// operation, to poolers.
//
// For each team, the tokens in the bucket and the tokens that poolers may still spend together
// never exceed a capacity, so that the operations of any window are at most the capacity and what
// the window refills. A token that a pooler holds counts until the pooler reports it as spent or
// unspent or its lifetime has passed; only tokens that are known to be unspent return to the
// bucket. A new leader does not know the tokens that its predecessor granted. For each registered
// pooler that has not reported yet, it assumes the most that one pooler may hold, and for all of
// them together no more than what the predecessor can have granted beside what others report.
#pragma once

#include "rhubarbweir/coordination/control/lease_tracker.hpp"
#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/state/team_limit.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbweir {

class BudgetAllocator
{
public:
    // Called when operations of the team are to be refused, at most once a second for each team.
    using ExhaustedHook = std::function<void(
        const TeamId &, const std::vector<std::pair<std::string, std::string>> &)>;

    BudgetAllocator(const TeamLimitRules &rules, ExhaustedHook exhausted);

    // Forgets all tokens when this instance becomes the leader.
    void beginLeadership();
    // Begins to grant, once no former leader can grant any more and all its log entries are
    // applied. `registered` are the runs that may hold tokens.
    void start(const std::vector<ProxyRun> &registered, TimePoint now);
    bool isStarted() const { return this->started; }

    // The number of registered poolers changed. Also called while this instance does not lead.
    void setPoolers(std::size_t count, TimePoint now);
    // Applies the limits of a configuration. Teams that are not listed have none.
    void setLimits(const std::map<TeamId, TeamLimit> &limits, TimePoint now);

    // Takes the report of a registered run and answers it.
    TokenAnswer answer(const ProxyRun &run, const TokenReport &report, TimePoint now);
    // Ends tokens whose lifetime has passed. To be called a few times a second.
    void advance(TimePoint now);

    struct TeamStatus
    {
        double bucket = 0;
        std::uint64_t atPoolers = 0;
        double capacity = 0;
    };
    // Teams with a limit.
    std::map<TeamId, TeamStatus> status() const;

private:
    // What one run may hold of one team.
    struct Holding
    {
        std::uint32_t tokens = 0;
        // End of the tokens that were granted last. None of the others ends later.
        TimePoint endsAt;
        // TeamTokenUse::spent of the last report.
        std::uint64_t spent = 0;
    };

    struct Pooler
    {
        std::uint64_t sequence = 0;
        TimePoint heardAt;
        std::map<TeamId, Holding> holdings;
    };

    struct Bucket
    {
        TeamLimit limit;
        // False for a team that has lost its limit. Its bucket is kept for a window, so that a
        // limit that returns does not bring a full one.
        bool isLimited = true;
        TimePoint unlimitedSince;
        double capacity = 0;
        double tokens = 0;
        // Sum over all holdings of the team.
        std::uint64_t atPoolers = 0;
        // What first reports prove to have been at their poolers when the former leader ended. No
        // more than the rest of the capacity was at the poolers that have not reported.
        std::uint64_t formerlyAtReported = 0;
        TimePoint refilledAt;
        TimePoint nextLogAt;
    };

    double capacityOf(const TeamLimit &limit) const;
    std::uint32_t largestHolding(const Bucket &bucket, std::size_t poolers) const;
    double assumedAtPoolers(const Bucket &bucket, TimePoint now) const;
    void refillUntil(Bucket &bucket, TimePoint now) const;
    std::size_t fewestPoolers(TimePoint now) const;
    void refillAll(TimePoint now);
    void refill(Bucket &bucket, TimePoint now) const;
    void limitToCapacity(Bucket &bucket, TimePoint now) const;
    void recordUse(Pooler &pooler, bool isFirstReport, const TeamTokenUse &use, TimePoint now);
    void releaseUnlisted(Pooler &pooler, const TokenReport &report, TimePoint now);
    void recordEndOfFormerRuns(const ProxyRun &run, TimePoint now);
    TeamTokenGrant grant(Pooler &pooler, const TeamTokenUse &use, TimePoint now);
    void reportExhausted(const TeamId &team, Bucket &bucket, TimePoint now);
    void release(const TeamId &team, Holding &holding, TimePoint now);
    void expire(const TeamId &team, Holding &holding, TimePoint now);
    Bucket *bucketOf(const TeamId &team);
    TimePoint endOfTokens(TimePoint grantedAt) const;

    TeamLimitRules rules;
    ExhaustedHook exhausted;
    std::map<TeamId, Bucket> buckets;
    std::map<ProxyRun, Pooler> poolers;
    // Registered runs that have not reported to this leader, and until when their tokens may count.
    std::set<ProxyRun> unreported;
    TimePoint unreportedUntil;
    // The smallest number of poolers at which they may have been granted tokens.
    std::size_t unreportedAmong = 1;
    TimePoint startedAt;
    bool started = false;
    // Whether the limits of some configuration were applied under this leadership.
    bool hasLimits = false;
    std::uint64_t epoch = 0;
    TimePoint sweepAt;
    std::size_t poolerCount = 1;
    // Numbers of poolers of the last token lifetime, by the time at which they ended. Before the
    // first known number, there may have been one pooler.
    std::deque<std::pair<TimePoint, std::size_t>> formerCounts;
};

} // namespace rhubarbweir
