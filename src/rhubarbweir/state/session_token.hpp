// Log positions that a session has written or read. The caller carries the token, so proxies do not
// store sessions.
#pragma once

#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"

#include <map>

namespace rhubarbweir {

struct SessionToken
{
    // Per group: the later of the last confirmed write and the newest state read.
    std::map<GroupId, LogPosition> seen;

    // Position that a read of `group` must cover; {0, 0} if the session has not accessed the group.
    LogPosition required(const GroupId &group) const;
    // Advances the position of `group` to `position`; never moves it back.
    void observe(const GroupId &group, const LogPosition &position);
};

} // namespace rhubarbweir
