// See admission_queue.hpp.
#include "rhubarbweir/coordination/proxy/admission_queue.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// The mean is an exponential moving average with a weight of 1/16 for a new service time.
constexpr std::int64_t MeanDivisor = 16;

} // namespace

PushResult AdmissionQueue::push(const QueueEntry &entry)
{
    PushResult result;
    if (this->size() >= this->limit) {
        const auto longest = this->longestQueue();
        const auto own = this->callerQueues.find(entry.caller);
        const std::size_t ownLength = own == this->callerQueues.end() ? 0 : own->second.size();
        if (longest == this->callerQueues.end() || longest->second.size() <= ownLength + 1)
            return result;
        result.evicted = longest->second.back().ticket;
        this->remove(*result.evicted);
    }
    this->index(entry);
    this->callerQueues[entry.caller].push_back(entry);
    result.accepted = true;
    return result;
}

void AdmissionQueue::pushFront(const QueueEntry &entry)
{
    this->index(entry);
    this->callerQueues[entry.caller].push_front(entry);
}

std::optional<Ticket> AdmissionQueue::take(const std::function<bool(Ticket)> &canRun)
{
    for (std::size_t turn = 0; turn < this->roundRobin.size(); ++turn) {
        const CallerId caller = this->roundRobin[turn];
        CallerQueue &callerQueue = this->callerQueues[caller];
        const auto found =
            std::find_if(callerQueue.begin(), callerQueue.end(),
                         [&](const QueueEntry &entry) { return canRun(entry.ticket); });
        if (found == callerQueue.end())
            continue;
        const QueueEntry entry = *found;
        // The served caller moves to the end; callers that were skipped keep their position.
        this->roundRobin.erase(this->roundRobin.begin() + static_cast<std::ptrdiff_t>(turn));
        this->roundRobin.push_back(caller);
        callerQueue.erase(found);
        this->unindex(entry);
        return entry.ticket;
    }
    return std::nullopt;
}

std::vector<Ticket> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<Ticket> expired;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        expired.push_back(this->deadlines.begin()->second);
        this->remove(expired.back());
    }
    return expired;
}

bool AdmissionQueue::remove(Ticket ticket)
{
    const auto caller = this->callerByTicket.find(ticket);
    if (caller == this->callerByTicket.end())
        return false;
    CallerQueue &callerQueue = this->callerQueues[caller->second];
    const auto found =
        std::find_if(callerQueue.begin(), callerQueue.end(),
                     [&](const QueueEntry &entry) { return entry.ticket == ticket; });
    const QueueEntry entry = *found;
    callerQueue.erase(found);
    this->unindex(entry);
    return true;
}

void AdmissionQueue::recordServiceTime(Duration serviceTime)
{
    this->meanService += (serviceTime - this->meanService) / MeanDivisor;
}

Duration AdmissionQueue::expectedWait(const CallerId &caller, std::size_t slots) const
{
    if (slots == 0)
        return Duration{0};
    const auto own = this->callerQueues.find(caller);
    const std::size_t turn = own == this->callerQueues.end() ? 1 : own->second.size() + 1;
    std::size_t ahead = 0;
    for (const auto &[other, callerQueue] : this->callerQueues)
        ahead += std::min(callerQueue.size(), turn);
    return this->meanService * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(slots);
}

TimePoint AdmissionQueue::nextDeadline() const
{
    return this->deadlines.empty() ? TimePoint::max() : this->deadlines.begin()->first;
}

void AdmissionQueue::index(const QueueEntry &entry)
{
    if (this->callerQueues.find(entry.caller) == this->callerQueues.end())
        this->roundRobin.push_back(entry.caller);
    this->callerByTicket.emplace(entry.ticket, entry.caller);
    this->deadlines.emplace(entry.deadline, entry.ticket);
}

void AdmissionQueue::unindex(const QueueEntry &entry)
{
    this->callerByTicket.erase(entry.ticket);
    this->deadlines.erase({entry.deadline, entry.ticket});
    const auto callerQueue = this->callerQueues.find(entry.caller);
    if (!callerQueue->second.empty())
        return;
    this->callerQueues.erase(callerQueue);
    const auto turn = std::find(this->roundRobin.begin(), this->roundRobin.end(), entry.caller);
    this->roundRobin.erase(turn);
}

std::map<CallerId, AdmissionQueue::CallerQueue>::iterator AdmissionQueue::longestQueue()
{
    return std::max_element(
        this->callerQueues.begin(), this->callerQueues.end(),
        [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
}

} // namespace rhubarbweir
