// CBOR encoding of fleet commands and state snapshots for the quorum log and its files.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_messages.hpp"
#include "rhubarbweir/state/fleet_state.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace rhubarbweir {

std::string encodeFleetCommand(const FleetCommand &command);
// Errors: InvalidArgument for malformed bytes, Unimplemented for an unsupported format version.
absl::StatusOr<FleetCommand> decodeFleetCommand(std::string_view bytes);

std::string encodeFleetSnapshot(const FleetState::Snapshot &snapshot);
// Errors: the same as for decodeFleetCommand().
absl::StatusOr<FleetState::Snapshot> decodeFleetSnapshot(std::string_view bytes);

// Limit on a configuration document. The documents of 5,000 groups and their routes are smaller.
inline constexpr std::size_t MaxDocumentBytes = 4 << 20;

// Encodes and compresses a view for FleetLease::packedView.
OpaqueBytes packFleetView(const FleetView &view);
// Errors: InvalidArgument for malformed bytes, ResourceExhausted beyond MaxUnpackedViewBytes.
absl::StatusOr<FleetView> unpackFleetView(const OpaqueBytes &packed);
// A view of 16,000 targets takes a quarter of it.
inline constexpr std::size_t MaxUnpackedViewBytes = 16 << 20;

} // namespace rhubarbweir
