// CBOR encoding of control log commands and state snapshots for the quorum log and its files.
#pragma once

#include "rhubarbweir/coordination/control/control_settings.hpp"

#include <string>
#include <string_view>

namespace rhubarbweir {

// Must be incremented when the encoding changes.
inline constexpr unsigned StateFormatVersion = 1;

std::string encodeCommand(const Command &command);
// Errors: InvalidArgument for malformed bytes, Unimplemented for an unsupported format version.
absl::StatusOr<Command> decodeCommand(std::string_view bytes);

std::string encodeSnapshot(const StateSnapshot &snapshot);
// Errors: the same as for decodeCommand().
absl::StatusOr<StateSnapshot> decodeSnapshot(std::string_view bytes);

// The functions above, bundled for ControlNode.
StateCodec stateCodec();

} // namespace rhubarbweir
