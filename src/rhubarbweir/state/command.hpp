// Commands of the control log. Each names the state that it was decided on, so that one that
// comes too late changes nothing.
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

// First command of a leader: once it is applied, so is everything committed before.
struct StartLeadership
{
    InstanceId instance;
    // Unique for the term of office.
    std::uint64_t marker = 0;
};

// Adds a target to its group or changes its address or failure domain.
struct RegisterMember
{
    GroupId group;
    TargetId target;
    GroupMember member;
};

// Starts a new term without a primary.
struct BeginTerm
{
    GroupId group;
    std::uint64_t expectedTerm = 0;
    // Greater than `expectedTerm`.
    std::uint64_t newTerm = 0;
    // Target to promote if its log allows; may be empty.
    TargetId preferred;
    std::string cause;
};

struct ChoosePrimary
{
    GroupId group;
    std::uint64_t term = 0;
    TargetId target;
    std::string cause;
};

// The chosen target is primary of the term.
struct ConfirmPrimary
{
    GroupId group;
    std::uint64_t term = 0;
};

// Begins a planned change to `target`: writes wait at the proxies.
struct HoldWrites
{
    GroupId group;
    std::uint64_t term = 0;
    TargetId target;
    // Empty when control started the change itself.
    std::string requestId;
    std::string cause;
};

// Calls a planned change off.
struct ReleaseWrites
{
    GroupId group;
    std::uint64_t term = 0;
    std::string cause;
};

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
    // Log time at the leader that proposed it.
    LogTime time;
    CommandBody body;
};

} // namespace rhubarbweir
