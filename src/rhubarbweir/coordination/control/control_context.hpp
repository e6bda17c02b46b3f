// State and dependencies shared by the components of a control instance. All references outlive the
// components.
#pragma once

#include "rhubarbweir/coordination/control/command_proposer.hpp"
#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/coordination/control/lease_book.hpp"
#include "rhubarbweir/coordination/control/observation_tracker.hpp"
#include "rhubarbweir/coordination/control/target_registry.hpp"

namespace rhubarbweir {

struct ControlContext
{
    const ControlSettings &settings;
    const QuorumPort &quorum;
    const ControlHooks &hooks;
    const ReplicatedState &state;
    CommandProposer &proposer;
    TargetRegistry &targets;
    ObservationTracker &observations;
    LeaseBook &leases;
};

} // namespace rhubarbweir
