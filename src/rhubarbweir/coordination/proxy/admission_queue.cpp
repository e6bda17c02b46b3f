// See admission_queue.hpp.
#include "rhubarbweir/coordination/proxy/admission_queue.hpp"

#include <algorithm>

namespace rhubarbweir {

namespace {

// One part in so many of a new service time enters the mean.
constexpr std::int64_t MeanWeight = 16;

} // namespace

PushResult AdmissionQueue::push(const QueueEntry &entry)
{
    PushResult result;
    if (this->size() >= this->limit) {
        const auto longest = this->longestLane();
        const auto own = this->lanes.find(entry.caller);
        const std::size_t ownLength = own == this->lanes.end() ? 0 : own->second.size();
        if (longest == this->lanes.end() || longest->second.size() <= ownLength + 1)
            return result;
        result.evicted = longest->second.back().ticket;
        this->remove(*result.evicted);
    }
    this->index(entry);
    this->lanes[entry.caller].push_back(entry);
    result.accepted = true;
    return result;
}

void AdmissionQueue::pushFront(const QueueEntry &entry)
{
    this->index(entry);
    this->lanes[entry.caller].push_front(entry);
}

std::optional<Ticket> AdmissionQueue::take(const std::function<bool(Ticket)> &canRun)
{
    for (std::size_t turn = 0; turn < this->rotation.size(); ++turn) {
        const CallerId caller = this->rotation[turn];
        Lane &lane = this->lanes[caller];
        const auto found = std::find_if(lane.begin(), lane.end(), [&](const QueueEntry &entry) {
            return canRun(entry.ticket);
        });
        if (found == lane.end())
            continue;
        const QueueEntry entry = *found;
        // The served lane moves to the end; lanes that were passed over keep their turn.
        this->rotation.erase(this->rotation.begin() + static_cast<std::ptrdiff_t>(turn));
        this->rotation.push_back(caller);
        lane.erase(found);
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
    const auto caller = this->callers.find(ticket);
    if (caller == this->callers.end())
        return false;
    Lane &lane = this->lanes[caller->second];
    const auto found = std::find_if(
        lane.begin(), lane.end(), [&](const QueueEntry &entry) { return entry.ticket == ticket; });
    const QueueEntry entry = *found;
    lane.erase(found);
    this->unindex(entry);
    return true;
}

void AdmissionQueue::served(Duration serviceTime)
{
    this->meanService += (serviceTime - this->meanService) / MeanWeight;
}

Duration AdmissionQueue::expectedWait(const CallerId &caller, std::size_t slots) const
{
    if (slots == 0)
        return Duration{0};
    const auto own = this->lanes.find(caller);
    const std::size_t turn = own == this->lanes.end() ? 1 : own->second.size() + 1;
    std::size_t ahead = 0;
    for (const auto &[other, lane] : this->lanes)
        ahead += std::min(lane.size(), turn);
    return this->meanService * static_cast<std::int64_t>(ahead) / static_cast<std::int64_t>(slots);
}

TimePoint AdmissionQueue::nextDeadline() const
{
    return this->deadlines.empty() ? TimePoint::max() : this->deadlines.begin()->first;
}

void AdmissionQueue::index(const QueueEntry &entry)
{
    if (this->lanes.find(entry.caller) == this->lanes.end())
        this->rotation.push_back(entry.caller);
    this->callers.emplace(entry.ticket, entry.caller);
    this->deadlines.emplace(entry.deadline, entry.ticket);
}

void AdmissionQueue::unindex(const QueueEntry &entry)
{
    this->callers.erase(entry.ticket);
    this->deadlines.erase({entry.deadline, entry.ticket});
    const auto lane = this->lanes.find(entry.caller);
    if (!lane->second.empty())
        return;
    this->lanes.erase(lane);
    const auto turn = std::find(this->rotation.begin(), this->rotation.end(), entry.caller);
    this->rotation.erase(turn);
}

std::map<CallerId, AdmissionQueue::Lane>::iterator AdmissionQueue::longestLane()
{
    return std::max_element(
        this->lanes.begin(), this->lanes.end(),
        [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
}

} // namespace rhubarbweir
