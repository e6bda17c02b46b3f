// Strongly typed identifiers. Each kind is a distinct type, so that they cannot be mixed up.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rhubarbweir {

// String identifier; `Tag` makes each kind a distinct type.
template<typename Tag>
struct StrongId
{
    std::string value;

    StrongId() = default;
    explicit StrongId(std::string text)
        : value(std::move(text))
    {
    }

    bool empty() const { return this->value.empty(); }

    friend bool operator==(const StrongId &a, const StrongId &b) { return a.value == b.value; }
    friend bool operator!=(const StrongId &a, const StrongId &b) { return a.value != b.value; }
    friend bool operator<(const StrongId &a, const StrongId &b) { return a.value < b.value; }
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.value;
    }
};

// A process of the system: a proxy or a control instance.
using InstanceId = StrongId<struct InstanceTag>;
// A set of instances and targets that can fail together.
using FailureDomainId = StrongId<struct FailureDomainTag>;
// One database of a group.
using TargetId = StrongId<struct TargetTag>;
// A primary and its replicas.
using GroupId = StrongId<struct GroupTag>;
// A customer whose callers share limits and a priority, identified by API keys.
using TeamId = StrongId<struct TeamTag>;
// A client of the system. Queues are scheduled fairly between callers.
using CallerId = StrongId<struct CallerTag>;
// A caller's session, which can outlive individual connections.
using SessionId = StrongId<struct SessionTag>;

} // namespace rhubarbweir

template<typename Tag>
struct std::hash<rhubarbweir::StrongId<Tag>>
{
    std::size_t operator()(const rhubarbweir::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
