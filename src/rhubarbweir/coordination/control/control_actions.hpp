// Describes applied commands as actions for the event log and StatusReport.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <optional>

namespace rhubarbweir {

// The event of an accepted command, after `state` applied it. None for commands that only serve
// the log itself.
std::optional<ControlEvent> describeAction(const CommandBody &body, const ReplicatedState &state);

} // namespace rhubarbweir
