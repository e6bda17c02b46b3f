// Describes applied commands as actions for the event log and StatusReport.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <optional>

namespace rhubarbweir {

// Returns the event for an accepted command, given the state after applying it. nullopt for
// commands that only serve the log itself.
std::optional<ControlEvent> describeAction(const CommandBody &body, const ReplicatedState &state);

} // namespace rhubarbweir
