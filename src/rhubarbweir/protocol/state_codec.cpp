// See state_codec.hpp.
#include "rhubarbweir/protocol/state_codec.hpp"

#include "rhubarbweir/protocol/internal/json_messages.hpp"

#include <absl/strings/str_cat.h>

#include <stdexcept>
#include <utility>

namespace nlohmann {

// Encoded as microseconds of log time since the log began.
template<>
struct adl_serializer<rhubarbweir::LogTime>
{
    static void to_json(json &to, const rhubarbweir::LogTime &time)
    {
        to = time.time_since_epoch().count();
    }
    static void from_json(const json &from, rhubarbweir::LogTime &time)
    {
        time = rhubarbweir::LogTime(rhubarbweir::Duration(from.get<std::int64_t>()));
    }
};

} // namespace nlohmann

namespace rhubarbweir {

// table_edit.hpp, configuration_table.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EditTable, requestId, editor, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EditResult, outcome, revision, conflicts, problems)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CompletedEdit, requestId, expiresAt, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TableSnapshot, rows, removedVersions, remembered)

// group_record.hpp, grant_book.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupMember, address, failureDomain)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupRecord, size, members, term, phase, primary, chosen,
                                   plannedRequest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TargetShare, slots, connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GrantHolder, proxy, incarnation, address, failureDomain, shares)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GroupGrants, epoch, revision, holders)

// command.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartLeadership, instance, marker)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterMember, group, target, member)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BeginTerm, group, expectedTerm, newTerm, preferred, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChoosePrimary, group, term, target, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfirmPrimary, group, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HoldWrites, group, term, target, requestId, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseWrites, group, term, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetGrants, group, expectedEpoch, holders, cause)

// replicated_state.hpp
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StateSnapshot, revision, time, table, groups, grants,
                                   groupRevisions)

namespace {

using nlohmann::json;

// Names in the control log, in the order of CommandBody's alternatives.
constexpr std::string_view CommandNames[] = {
    "start_leadership", "register_member", "begin_term", "choose_primary", "confirm_primary",
    "hold_writes",      "release_writes",  "set_grants", "edit_table",
};
static_assert(std::size(CommandNames) == std::variant_size_v<CommandBody>);

template<std::size_t Index = 0>
CommandBody decodeCommandBody(const std::string &name, const json &body)
{
    if constexpr (Index < std::variant_size_v<CommandBody>) {
        if (CommandNames[Index] == name)
            return body.get<std::variant_alternative_t<Index, CommandBody>>();
        return decodeCommandBody<Index + 1>(name, body);
    } else {
        throw std::invalid_argument("unknown command " + name);
    }
}

std::string toCbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

// Parses `bytes`, checks the format version and converts the result with `read`.
template<typename Value, typename Read>
absl::StatusOr<Value> decodeVersioned(std::string_view bytes, Read read)
{
    try {
        const json value = json::from_cbor(bytes);
        const auto version = value.at("v").get<unsigned>();
        if (version != StateFormatVersion)
            return absl::UnimplementedError(
                absl::StrCat("unsupported state format version ", version));
        return read(value);
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

std::string encodeCommand(const Command &command)
{
    json value;
    value["v"] = StateFormatVersion;
    value["at"] = command.time;
    value["t"] = std::string(CommandNames[command.body.index()]);
    std::visit([&value](const auto &body) { value["b"] = body; }, command.body);
    return toCbor(value);
}

absl::StatusOr<Command> decodeCommand(std::string_view bytes)
{
    return decodeVersioned<Command>(bytes, [](const json &value) {
        Command command;
        command.time = value.at("at").get<LogTime>();
        command.body = decodeCommandBody(value.at("t").get<std::string>(), value.at("b"));
        return command;
    });
}

std::string encodeSnapshot(const StateSnapshot &snapshot)
{
    json value;
    value["v"] = StateFormatVersion;
    value["state"] = snapshot;
    return toCbor(value);
}

absl::StatusOr<StateSnapshot> decodeSnapshot(std::string_view bytes)
{
    return decodeVersioned<StateSnapshot>(
        bytes, [](const json &value) { return value.at("state").get<StateSnapshot>(); });
}

StateCodec stateCodec()
{
    return {encodeCommand, decodeCommand, encodeSnapshot, decodeSnapshot};
}

} // namespace rhubarbweir
