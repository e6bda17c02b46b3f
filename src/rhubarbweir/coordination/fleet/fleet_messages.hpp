// Messages between session poolers and the control instances of their fleet. A pooler renews with
// RenewLease (control_messages.hpp); this is what comes back.
#pragma once

#include "rhubarbweir/state/fleet_state.hpp"
#include "rhubarbweir/state/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbweir {

// Everything that a pooler acts by, except the configuration document.
struct FleetView
{
    // Index of the control log's entry that changed the view last.
    std::uint64_t revision = 0;
    std::vector<RegisteredTarget> targets;
    std::vector<PrimaryAuthority> authorities;
    // Addresses of the control instances.
    std::vector<std::string> controls;
};

// Answer to a renewal, or sent unasked when the view or the configuration changed.
struct FleetLease
{
    // Of the renewal that this answers; 0 when unasked, and then no lease is given.
    std::uint64_t sequence = 0;
    // Counted by the pooler from when it sent the renewal.
    Duration leaseFor{};
    FleetView view;
    // Registered poolers, for their shares of each target's connections.
    std::uint32_t poolers = 1;
    // Former starts of poolers whose connections targets may still hold.
    std::uint32_t formerPoolers = 0;
    std::uint64_t configurationVersion = 0;
    // Empty when the pooler has this version already.
    OpaqueBytes configuration;
};

// The receiver does not lead.
struct FleetRedirect
{
    // Internal address of the leader; empty when unknown.
    std::string leader;
};

} // namespace rhubarbweir
