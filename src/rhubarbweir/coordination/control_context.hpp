// What the parts of a control instance share. All references outlive the parts.
#pragma once

#include "rhubarbweir/coordination/command_proposer.hpp"
#include "rhubarbweir/coordination/control_settings.hpp"
#include "rhubarbweir/coordination/lease_book.hpp"
#include "rhubarbweir/coordination/observation_book.hpp"
#include "rhubarbweir/coordination/target_registry.hpp"

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
