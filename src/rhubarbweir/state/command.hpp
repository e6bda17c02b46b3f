// Commands of the control log. Each carries the term or epoch it was decided on, so that a command
// based on outdated state is rejected when it is applied.
#pragma once

#include "rhubarbweir/state/grant_book.hpp"
#include "rhubarbweir/state/group_record.hpp"
#include "rhubarbweir/state/log_time.hpp"
#include "rhubarbweir/state/table_edit.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbweir {

// First command of a new leader. Once it is applied, all earlier committed commands are too.
struct StartLeadership
{
    InstanceId instance;
    // Unique for each leadership term.
    std::uint64_t marker = 0;
};

// Adds a target to its group or updates its address or failure domain.
struct RegisterMember
{
    GroupId group;
    TargetId target;
    GroupMember member;
};

// Starts a new term, in which the group has no primary yet.
struct BeginTerm
{
    GroupId group;
    std::uint64_t expectedTerm = 0;
    // Greater than `expectedTerm`.
    std::uint64_t newTerm = 0;
    // Target to promote if its log is recent enough; may be empty.
    TargetId preferred;
    std::string cause;
};

// Selects the target to promote in the current term.
struct ChoosePrimary
{
    GroupId group;
    std::uint64_t term = 0;
    TargetId target;
    std::string cause;
};

// Records that the chosen target has become primary of the term.
struct ConfirmPrimary
{
    GroupId group;
    std::uint64_t term = 0;
};

// Starts a planned primary change to `target`. Proxies queue writes until it ends.
struct HoldWrites
{
    GroupId group;
    std::uint64_t term = 0;
    TargetId target;
    // Empty when a control instance started the change itself.
    std::string requestId;
    std::string cause;
};

// Cancels a planned primary change.
struct ReleaseWrites
{
    GroupId group;
    std::uint64_t term = 0;
    std::string cause;
};

// Replaces the grants of a group.
struct SetGrants
{
    GroupId group;
    std::uint64_t expectedEpoch = 0;
    std::vector<GrantHolder> holders;
    std::string cause;
};

using CommandBody = std::variant<StartLeadership, RegisterMember, BeginTerm, ChoosePrimary,
                                 ConfirmPrimary, HoldWrites, ReleaseWrites, SetGrants, EditTable>;

struct Command
{
    // Log time of the proposing leader.
    LogTime time;
    CommandBody body;
};

} // namespace rhubarbweir
