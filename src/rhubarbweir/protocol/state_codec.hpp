// CBOR form of control log commands and state snapshots, for the quorum log and its files.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <string>
#include <string_view>

namespace rhubarbweir {

// Raised when the form changes.
inline constexpr unsigned StateFormatVersion = 1;

std::string encodeCommand(const Command &command);
// Errors: InvalidArgument for malformed bytes, Unimplemented for another format version.
absl::StatusOr<Command> decodeCommand(std::string_view bytes);

std::string encodeSnapshot(const StateSnapshot &snapshot);
// Errors: as decodeCommand().
absl::StatusOr<StateSnapshot> decodeSnapshot(std::string_view bytes);

// The functions above, as ControlNode takes them.
StateCodec stateCodec();

} // namespace rhubarbweir
