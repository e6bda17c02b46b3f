// The groups that a proxy serves, as of one revision of the control log.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"

#include <map>
#include <memory>

namespace rhubarbweir {

// Immutable once shared between threads.
struct ProxyView
{
    std::uint64_t revision = 0;
    std::map<GroupId, GroupView> groups;
};

using ProxyViewPtr = std::shared_ptr<const ProxyView>;

} // namespace rhubarbweir
