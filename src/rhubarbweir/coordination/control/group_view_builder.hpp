// Builds the view of a group that is sent to proxies from the replicated state.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/state/replicated_state.hpp"

namespace rhubarbweir {

// The state has to contain a record of `group`.
GroupView buildGroupView(const ReplicatedState &state, const GroupId &group);

} // namespace rhubarbweir
