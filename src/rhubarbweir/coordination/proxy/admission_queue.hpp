// Bounded request queue of a group, one for reads and one for writes. Serves callers round robin
// and drops entries whose deadline passes.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbweir {

// Identifies one request pending in this process.
using Ticket = std::uint64_t;

struct QueueEntry
{
    Ticket ticket = 0;
    CallerId caller;
    TimePoint deadline;
};

struct PushResult
{
    bool accepted = false;
    // Newest entry of the caller with the longest queue, removed to make room for the new entry.
    std::optional<Ticket> evicted;
};

class AdmissionQueue
{
public:
    void setLimit(std::size_t newLimit) { this->limit = newLimit; }

    PushResult push(const QueueEntry &entry);
    // Requeues an entry that was taken before; the limit does not apply.
    void pushFront(const QueueEntry &entry);
    // Removes the next entry that `canRun` accepts: callers in round-robin order, the entries of
    // one caller in FIFO order.
    std::optional<Ticket> take(const std::function<bool(Ticket)> &canRun);
    // Removes and returns the entries whose deadline is at or before `now`.
    std::vector<Ticket> takeExpired(TimePoint now);
    bool remove(Ticket ticket);

    // Updates the mean time that a request holds a slot, from which expectedWait() estimates.
    void recordServiceTime(Duration serviceTime);
    // Estimated wait of an entry that `caller` pushes now while `slots` requests run in parallel.
    Duration expectedWait(const CallerId &caller, std::size_t slots) const;

    std::size_t size() const { return this->callerByTicket.size(); }
    bool empty() const { return this->callerByTicket.empty(); }
    // Earliest deadline of an entry; max() when empty.
    TimePoint nextDeadline() const;
    // Mean time that a request holds a slot.
    Duration meanServiceTime() const { return this->meanService; }

private:
    using CallerQueue = std::deque<QueueEntry>;

    void index(const QueueEntry &entry);
    void unindex(const QueueEntry &entry);
    std::map<CallerId, CallerQueue>::iterator longestQueue();

    std::size_t limit = 0;
    // No caller queue is empty. `roundRobin` lists each caller once; the first is served next.
    std::map<CallerId, CallerQueue> callerQueues;
    std::deque<CallerId> roundRobin;
    // Both contain exactly the queued tickets.
    std::map<Ticket, CallerId> callerByTicket;
    std::set<std::pair<TimePoint, Ticket>> deadlines;
    Duration meanService = std::chrono::milliseconds(1);
};

} // namespace rhubarbweir
