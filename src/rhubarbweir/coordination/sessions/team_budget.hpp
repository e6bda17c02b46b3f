// The pooler's side of the fleet-wide limits of teams: holds the tokens that the leader granted,
// and asks for more.
//
// One token pays for one operation when the operation arrives. Until the operation has run it may
// come back: an operation that is refused without having run returns its token. Tokens end at a
// deadline that counts from when they were asked for, so that a frozen or partitioned pooler spends
// none that the leader no longer counts. Reports to the leader hold only teams that changed.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbweir {

// Why an operation has no token.
enum class TokenShortage {
    // More are asked for; the operation waits.
    Awaited,
    // The team has reached its limit.
    Exhausted,
    // No leader has answered for a while.
    WithoutLeader,
};

class TeamBudget
{
public:
    // An operation of the team arrived; it will take a token or wait for one.
    void arrived(const TeamId &team);
    // Takes a token. Returns its deadline, by which settle() finds it, or nothing if there is none.
    std::optional<TimePoint> take(const TeamId &team, TimePoint now);
    TokenShortage shortage(const TeamId &team, TimePoint now) const;
    // How long after its arrival an operation that usually takes `work` to run may wait for a
    // token, with a latency objective. `work` is 0 if it is not known.
    static Duration longestWait(Duration objective, Duration work);
    // The operation that took the token has run, or was refused without having run.
    void settle(const TeamId &team, TimePoint token, bool hasRun, TimePoint now);
    // The number of operations that wait for a token.
    void setWaiting(const TeamId &team, std::size_t count);
    // The sum over all teams.
    std::size_t waiting() const { return this->waitingCount; }

    // Whether a report may go with the next renewal: no answer to an earlier one is awaited.
    bool mayReport(TimePoint now) const;
    // Returns the report to send now. Answers to earlier ones are not accepted any more.
    TokenReport report(TimePoint now);
    // When a report has to be sent without waiting for the next renewal; max() if none has to be.
    TimePoint requestDueAt() const;
    // A request that was due could not be sent; it is due again after a while.
    void requestNotSent(TimePoint now);
    // Returns the teams whose waiting operations can now run or be refused.
    std::vector<TeamId> answered(const TokenAnswer &answer, TimePoint now);
    // The report in flight will not be answered, and the next one is for an instance that knows
    // none of the former ones.
    void disconnected();
    // As disconnected(), but the report in flight is known not to have been counted: the instance
    // does not lead.
    void refused();

    std::uint32_t held(const TeamId &team, TimePoint now);

private:
    // Tokens with one deadline.
    struct Slot
    {
        TimePoint deadline;
        std::uint32_t free = 0;
        // Taken by operations that have neither run nor been refused.
        std::uint32_t taken = 0;
        // Spent since the last report, and before the report in flight since the one before it.
        std::uint32_t spent = 0;
        std::uint32_t spentInFlight = 0;
    };

    struct Account
    {
        // By deadline.
        std::deque<Slot> slots;
        std::uint64_t spent = 0;
        std::uint32_t waiting = 0;
        // Operations that arrived since the rate was updated, and their smoothed rate per second.
        std::uint32_t arrivals = 0;
        double rate = 0;
        // When the rate was last updated with arrivals; far in the past before.
        TimePoint arrivedAt = TimePoint::min();
        TimePoint exhaustedUntil;
        // Counts changes; those that the report in flight holds, and those that the leader knows.
        std::uint64_t changes = 0;
        std::uint64_t reported = 0;
        std::uint64_t known = 0;
    };

    Account &accountOf(const TeamId &team);
    static void expire(Account &account, TimePoint now);
    static std::uint32_t heldBy(const Account &account);
    void returnIdle(Account &account, TimePoint now) const;
    void updateRates(TimePoint now);

    // Teams of which operations arrived lately or tokens are held.
    std::map<TeamId, Account> accounts;
    // New accounts count from here, at least as far as any former one, so that the counter of a
    // team never decreases.
    std::uint64_t largestSpent = 0;
    std::uint64_t sequence = 0;
    // Of the last answer on this connection; 0 if the next report has to be whole.
    std::uint64_t epoch = 0;
    // Whether this connection's instance answers reports.
    bool isSupported = false;
    // When the report in flight was sent.
    std::optional<TimePoint> sentAt;
    std::optional<TimePoint> lastAnswerAt;
    TimePoint ratesUpdatedAt;
    // Requests are sent no earlier than this.
    TimePoint nextRequestAt;
    Duration requestInterval = std::chrono::milliseconds(20);
    std::size_t waitingCount = 0;
};

} // namespace rhubarbweir
