// The replicated state of a session pooler fleet: the operators' configuration document, the
// registered targets and which target of each group has primary authority.
//
// Every control instance applies the same commands in log order, and nothing else changes the
// state, so equal logs produce equal states.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/log_position.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbweir {

enum class TargetPhase {
    Ready,
    // Shutting down; receives no new work.
    Draining,
    Left,
};

template<>
struct EnumNames<TargetPhase>
{
    static constexpr std::string_view Names[] = {"ready", "draining", "left"};
};

// One registration of a target. A later start of the target has a greater `born`.
struct RegisteredTarget
{
    TargetId target;
    GroupId group;
    std::string address;
    FailureDomainId failureDomain;
    TargetPhase phase = TargetPhase::Ready;
    std::uint32_t slots = 0;
    // Start time of the target's process in Unix milliseconds, as reported by the target.
    std::int64_t born = 0;
    // Incremented by the target with every call it makes within one process lifetime.
    std::uint64_t sequence = 0;
    bool reportsPrimary = false;

    friend bool operator==(const RegisteredTarget &a, const RegisteredTarget &b);
    friend bool operator!=(const RegisteredTarget &a, const RegisteredTarget &b)
    {
        return !(a == b);
    }
};

// Where the log of a term continues that of the terms before it.
struct TermStart
{
    std::uint64_t term = 0;
    // Last position before the term's first entry; 0.0 if it is not known.
    LogPosition position;
};

// Which target may be used as a group's primary.
struct PrimaryAuthority
{
    GroupId group;
    // Incremented whenever the authority is granted or revoked.
    std::uint64_t generation = 0;
    // Empty while the authority is revoked.
    TargetId primary;
    // Newest term of the group's log in which the authority was granted; 0 if none is known. A
    // lower one is granted only to a group that has lost its log.
    std::uint64_t term = 0;
    // Starts of the newest granted terms, by increasing term. Not sent to poolers.
    std::vector<TermStart> termStarts;
    // The primary before the change in progress; empty if there was none.
    TargetId former;
    // Target selected for promotion; empty until the selection is committed.
    TargetId candidate;
    // Log index of the revocation.
    std::uint64_t revokedAt = 0;
    // Control instance that chose the candidate, and the log index of that choice, which is the
    // fencing token of the promotion. Another instance commits its own choice at a later index, so
    // its token is higher.
    InstanceId chooser;
    std::uint64_t token = 0;
};

struct ConfigurationDocument
{
    // 0 until the first document is stored.
    std::uint64_t version = 0;
    // Unmodified bytes as sent by the operator.
    OpaqueBytes document;
};

// Has no effect unless `version` is higher than the stored one.
struct StoreConfiguration
{
    std::uint64_t version = 0;
    OpaqueBytes document;
};

// Records that a target registered or changed its phase or role.
struct RecordTarget
{
    RegisteredTarget target;
    // Registrations that do not count against this one, removed if they are still the same.
    std::vector<RegisteredTarget> displaced;
};

// Grants the authority to `primary`. Has no effect if the current generation differs.
struct GrantAuthority
{
    GroupId group;
    std::uint64_t generation = 0;
    TargetId primary;
    // Term of the group's log in which `primary` leads; 0 if it is not known.
    std::uint64_t term = 0;
    // See TermStart::position.
    LogPosition start;
};

// Revokes the authority so that the primary can change. Has no effect if the current generation
// differs.
struct RevokeAuthority
{
    GroupId group;
    std::uint64_t generation = 0;
};

// Sets the target that the change in progress promotes. Has no effect if the current generation
// differs.
struct ChooseCandidate
{
    GroupId group;
    std::uint64_t generation = 0;
    TargetId candidate;
    InstanceId chooser;
};

// One process lifetime of a pooler, which may hold a lease.
struct PoolerRun
{
    InstanceId pooler;
    // Unique for each process start.
    std::uint64_t incarnation = 0;
    // Whether a later start of the same pooler has registered. Never reset, so that a delayed
    // message of this start cannot end the later one.
    bool hasEnded = false;
};

using PoolerRuns = std::map<std::pair<InstanceId, std::uint64_t>, PoolerRun>;

// Registers a pooler's start before its first lease and ends all earlier starts. Has no effect for
// a start that has ended.
struct RegisterPooler
{
    InstanceId pooler;
    std::uint64_t incarnation = 0;
};

// Removes a start that no longer holds a lease.
struct ForgetPooler
{
    InstanceId pooler;
    std::uint64_t incarnation = 0;
};

// Registers a control instance without a disk, by its internal address, so that a new leader can
// call on it.
struct RegisterObserver
{
    std::string address;
};

// Removes an observer that has been silent for long.
struct ForgetObserver
{
    std::string address;
};

using FleetCommand =
    std::variant<StoreConfiguration, RecordTarget, GrantAuthority, RevokeAuthority, ChooseCandidate,
                 RegisterPooler, ForgetPooler, RegisterObserver, ForgetObserver>;

// What changed in the view since some revision.
struct FleetViewChanges
{
    // Targets that were recorded or removed.
    std::set<TargetId> targets;
    std::set<GroupId> authorities;
};

class FleetState
{
public:
    // Applies the command at log index `index`. Returns whether the state changed.
    bool apply(std::uint64_t index, const FleetCommand &command);

    // Log index of the last change to targets or authorities.
    std::uint64_t viewRevision() const { return this->revision; }
    // The changes after `since`; empty if they are not known back to it.
    std::optional<FleetViewChanges> viewChangesAfter(std::uint64_t since) const;
    const ConfigurationDocument &configuration() const { return this->storedConfiguration; }
    const std::map<TargetId, RegisteredTarget> &targets() const { return this->registeredTargets; }
    const std::map<GroupId, PrimaryAuthority> &authorities() const
    {
        return this->authorityByGroup;
    }
    // Null for an unknown target.
    const RegisteredTarget *find(const TargetId &target) const;
    // Whether a report is current. False if it comes from an earlier start, from a target that has
    // left, or from one whose address has been taken over by a later start. Displaced registrations
    // are not compared.
    bool accepts(const RecordTarget &report) const;
    const PrimaryAuthority *authority(const GroupId &group) const;
    // Keyed by pooler and incarnation.
    const PoolerRuns &poolers() const { return this->poolerRuns; }
    // Null for an unknown start.
    const PoolerRun *findPooler(const InstanceId &pooler, std::uint64_t incarnation) const;
    // Number of poolers with a registered start that has not ended.
    std::size_t livePoolers() const { return this->livePoolerCount; }

    // Internal addresses of registered observers.
    const std::set<std::string> &observers() const { return this->observerAddresses; }

    // Complete copy of the state, stored in quorum log snapshots.
    struct Snapshot
    {
        std::uint64_t revision = 0;
        ConfigurationDocument configuration;
        std::vector<RegisteredTarget> targets;
        std::vector<PrimaryAuthority> authorities;
        std::vector<PoolerRun> poolers;
        std::vector<std::string> observers;
    };
    Snapshot snapshot() const;
    void restore(const Snapshot &snapshot);

private:
    bool applyCommand(std::uint64_t index, const StoreConfiguration &command);
    bool applyCommand(std::uint64_t index, const RecordTarget &command);
    bool applyCommand(std::uint64_t index, const GrantAuthority &command);
    bool applyCommand(std::uint64_t index, const RevokeAuthority &command);
    bool applyCommand(std::uint64_t index, const ChooseCandidate &command);
    bool applyCommand(std::uint64_t index, const RegisterPooler &command);
    bool applyCommand(std::uint64_t index, const ForgetPooler &command);
    bool applyCommand(std::uint64_t index, const RegisterObserver &command);
    bool applyCommand(std::uint64_t index, const ForgetObserver &command);
    void removeSupersededTargets(std::uint64_t index, const RegisteredTarget &target);
    void recordViewChange(std::uint64_t index, const TargetId &target, const GroupId &group);

    struct ViewChange
    {
        std::uint64_t index = 0;
        // One of the two is empty.
        TargetId target;
        GroupId group;
    };

    std::uint64_t revision = 0;
    // The latest changes of the view by increasing index. Complete after `changesKnownSince`. Not
    // part of the replicated state.
    std::deque<ViewChange> viewChanges;
    std::uint64_t changesKnownSince = 0;
    ConfigurationDocument storedConfiguration;
    std::map<TargetId, RegisteredTarget> registeredTargets;
    std::map<GroupId, PrimaryAuthority> authorityByGroup;
    // At most one run of each pooler has not ended.
    PoolerRuns poolerRuns;
    std::size_t livePoolerCount = 0;
    std::set<std::string> observerAddresses;
};

// Whether a log that ends at `end` has no entry that a granted term has replaced, so that it is a
// part of the group's log. False for a log that ends before all recorded terms, as nothing is known
// of it.
bool isOnGrantedPath(const PrimaryAuthority &authority, const LogPosition &end);

// Whether `next` was sent after `known`. Both must have the same target id.
bool isNewer(const RegisteredTarget &next, const RegisteredTarget &known);

} // namespace rhubarbweir
