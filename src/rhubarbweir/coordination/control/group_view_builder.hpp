// Builds what proxies see of a group from the replicated state.
#pragma once

#include "rhubarbweir/coordination/control/control_messages.hpp"
#include "rhubarbweir/state/replicated_state.hpp"

namespace rhubarbweir {

// `group` has to have a record.
GroupView buildGroupView(const ReplicatedState &state, const GroupId &group);

} // namespace rhubarbweir
