// See replicated_log.hpp.
#include "programs/standin/replicated_log.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

LogPosition ReplicatedLog::received() const
{
    return this->log.empty() ? LogPosition{} : this->log.back().at;
}

LogPosition ReplicatedLog::applied() const
{
    return LogPosition{this->termAt(this->appliedPosition), this->appliedPosition};
}

const LogEntry *ReplicatedLog::entryAt(std::uint64_t position) const
{
    if (position == 0 || position > this->log.size())
        return nullptr;
    return &this->log[position - 1];
}

std::uint64_t ReplicatedLog::termAt(std::uint64_t position) const
{
    const LogEntry *entry = this->entryAt(position);
    return entry ? entry->at.term : 0;
}

const LogEntry *ReplicatedLog::entryOf(const RequestKey &request) const
{
    const auto found = this->positions.find(request);
    return found == this->positions.end() ? nullptr : this->entryAt(found->second);
}

std::string ReplicatedLog::valueOf(const std::string &key) const
{
    const auto found = this->values.find(key);
    return found == this->values.end() ? std::string() : found->second;
}

void ReplicatedLog::append(LogEntry entry)
{
    for (const RequestKey &request : entry.requests) {
        if (!this->positions.emplace(request, entry.at.position).second)
            ++this->repeated[request];
    }
    this->log.push_back(std::move(entry));
}

void ReplicatedLog::truncateAfter(std::uint64_t position)
{
    while (this->log.size() > position) {
        for (const RequestKey &request : this->log.back().requests) {
            const auto found = this->positions.find(request);
            if (found != this->positions.end() && found->second == this->log.size())
                this->positions.erase(found);
            else if (--this->repeated[request] == 0)
                this->repeated.erase(request);
        }
        this->log.pop_back();
    }
    if (this->appliedPosition <= position)
        return;
    this->values.clear();
    this->appliedPosition = 0;
    this->applyThrough(position);
}

void ReplicatedLog::applyThrough(std::uint64_t position)
{
    const std::uint64_t end = std::min<std::uint64_t>(position, this->log.size());
    while (this->appliedPosition < end) {
        for (const KeyChange &change : this->log[this->appliedPosition].changes)
            this->values[change.key] = change.value;
        ++this->appliedPosition;
    }
}

} // namespace rhubarbweir
