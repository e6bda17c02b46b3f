// What the parts of a control instance share. All references outlive the parts.
#pragma once

#include "rhubarbweir/coordination/control/command_proposer.hpp"
#include "rhubarbweir/coordination/control/control_settings.hpp"
#include "rhubarbweir/coordination/control/lease_book.hpp"
#include "rhubarbweir/coordination/control/observation_book.hpp"
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
    ObservationBook &observations;
    LeaseBook &leases;
};

} // namespace rhubarbweir
