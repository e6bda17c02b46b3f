// What a session has written and seen; carried by the caller, so no proxy stores sessions.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"

#include <map>

namespace rhubarbweir {

struct SessionToken
{
    // Per group: the newest of the last confirmed write and the newest state read.
    std::map<GroupId, LogPosition> seen;

    // The position that a read of `group` has to cover; {0, 0} where nothing was seen.
    LogPosition required(const GroupId &group) const;
    // Raises the position of `group`; never lowers it.
    void observe(const GroupId &group, const LogPosition &position);
};

} // namespace rhubarbweir
