// The bounded queue of one kind of work of a group: fair between callers, aware of deadlines.
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

// Names one piece of work of this process.
using Ticket = std::uint64_t;

struct QueueEntry
{
    Ticket ticket = 0;
    CallerId caller;
    TimePoint deadline;
};

// What became of a push.
struct PushResult
{
    bool accepted = false;
    // Newest entry of the caller with the longest lane, pushed out for the new one.
    std::optional<Ticket> evicted;
};

class AdmissionQueue
{
public:
    void setLimit(std::size_t newLimit) { this->limit = newLimit; }

    PushResult push(const QueueEntry &entry);
    // Puts work back that was taken before; the limit does not apply.
    void pushFront(const QueueEntry &entry);
    // Removes the next entry that `canRun` accepts: one lane after the other, each in order.
    std::optional<Ticket> take(const std::function<bool(Ticket)> &canRun);
    // Removes the entries that could not finish within their deadline any more.
    std::vector<Ticket> takeExpired(TimePoint now);
    bool remove(Ticket ticket);

    // Teaches the queue how long one piece of work holds a slot.
    void served(Duration serviceTime);
    // How long an entry of `caller` pushed now would wait behind others, with `slots` at work.
    Duration expectedWait(const CallerId &caller, std::size_t slots) const;

    std::size_t size() const { return this->callers.size(); }
    bool empty() const { return this->callers.empty(); }
    // When takeExpired() has work to do; max() when empty.
    TimePoint nextDeadline() const;
    // Mean time that work holds a slot.
    Duration serviceTime() const { return this->meanService; }

private:
    using Lane = std::deque<QueueEntry>;

    void index(const QueueEntry &entry);
    void unindex(const QueueEntry &entry);
    std::map<CallerId, Lane>::iterator longestLane();

    std::size_t limit = 0;
    // No lane is empty; `rotation` names each lane once, the next to be served first.
    std::map<CallerId, Lane> lanes;
    std::deque<CallerId> rotation;
    // Both hold exactly the queued tickets.
    std::map<Ticket, CallerId> callers;
    std::set<std::pair<TimePoint, Ticket>> deadlines;
    Duration meanService = std::chrono::milliseconds(1);
};

} // namespace rhubarbweir
