// See control_actions.hpp.
#include "rhubarbweir/coordination/control/control_actions.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

ControlEvent makeEvent(ControlEventKind kind, const GroupId &group, const TargetId &target,
                       std::uint64_t term, std::string cause)
{
    ControlEvent event;
    event.kind = kind;
    event.group = group;
    event.target = target;
    event.term = term;
    event.cause = std::move(cause);
    return event;
}

std::optional<ControlEvent> eventOf(const StartLeadership &, const ReplicatedState &)
{
    return std::nullopt;
}

std::optional<ControlEvent> eventOf(const RegisterMember &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::TargetRegistered, command.group, command.target, 0,
                     "announced from " + command.member.address);
}

std::optional<ControlEvent> eventOf(const BeginTerm &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::TermBegun, command.group, command.preferred, command.newTerm,
                     command.cause);
}

std::optional<ControlEvent> eventOf(const ChoosePrimary &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::PrimaryChosen, command.group, command.target, command.term,
                     command.cause);
}

std::optional<ControlEvent> eventOf(const ConfirmPrimary &command, const ReplicatedState &state)
{
    return makeEvent(ControlEventKind::PrimaryConfirmed, command.group,
                     state.findGroup(command.group)->primary, command.term, "promoted");
}

std::optional<ControlEvent> eventOf(const HoldWrites &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::WritesHeld, command.group, command.target, command.term,
                     command.cause);
}

std::optional<ControlEvent> eventOf(const ReleaseWrites &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::WritesReleased, command.group, TargetId(), command.term,
                     command.cause);
}

std::optional<ControlEvent> eventOf(const SetGrants &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::GrantsChanged, command.group, TargetId(), 0, command.cause);
}

std::optional<ControlEvent> eventOf(const EditTable &command, const ReplicatedState &)
{
    return makeEvent(ControlEventKind::TableEdited, GroupId(), TargetId(), 0,
                     "edit " + command.requestId + " by " + command.editor);
}

} // namespace

std::optional<ControlEvent> describeAction(const CommandBody &body, const ReplicatedState &state)
{
    return std::visit([&state](const auto &command) { return eventOf(command, state); }, body);
}

} // namespace rhubarbweir
