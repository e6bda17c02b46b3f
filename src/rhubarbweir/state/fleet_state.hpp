// The replicated state of a session pooler fleet: the operators' configuration document, the
// registered targets and which target of each group has primary authority.
//
// Commands are applied in log order on every control instance and change nothing else, so equal
// logs give equal states.
#pragma once

#include "rhubarbweir/state/enum_names.hpp"
#include "rhubarbweir/state/ids.hpp"
#include "rhubarbweir/state/opaque_bytes.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rhubarbweir {

enum class TargetPhase {
    Ready,
    // Will end soon; gets no new work.
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
    // Start of the target's process in Unix milliseconds, as the target says.
    std::int64_t born = 0;
    // Raised by the target with every call of one start.
    std::uint64_t sequence = 0;
    bool reportsPrimary = false;

    friend bool operator==(const RegisteredTarget &a, const RegisteredTarget &b);
    friend bool operator!=(const RegisteredTarget &a, const RegisteredTarget &b)
    {
        return !(a == b);
    }
};

// Which target may be used as a group's primary.
struct PrimaryAuthority
{
    GroupId group;
    // Raised whenever the authority is given or taken away.
    std::uint64_t generation = 0;
    // Empty while the authority is taken away.
    TargetId primary;
    // The primary before a running change; empty when there was none.
    TargetId former;
    // Chosen for promotion; empty until the choice is committed.
    TargetId candidate;
    // Log index that took the authority away.
    std::uint64_t revokedAt = 0;
    // Control instance that chose the candidate, and the log index of its choice: the fencing token
    // of its promotion. Another instance makes a choice of its own, so its token is higher.
    InstanceId chooser;
    std::uint64_t token = 0;
};

struct ConfigurationDocument
{
    // 0 before the first one.
    std::uint64_t version = 0;
    // As the operator sent it.
    OpaqueBytes document;
};

// Takes effect only when `version` is higher than the one held.
struct StoreConfiguration
{
    std::uint64_t version = 0;
    OpaqueBytes document;
};

// A target registered, changed its phase or its role.
struct RecordTarget
{
    RegisteredTarget target;
};

// Gives the authority of `generation` to `primary`. Without effect under another generation.
struct GrantAuthority
{
    GroupId group;
    std::uint64_t generation = 0;
    TargetId primary;
};

// Takes the authority away, so that the primary can change. Without effect under another
// generation.
struct RevokeAuthority
{
    GroupId group;
    std::uint64_t generation = 0;
};

// Fixes the target that a running change promotes. Without effect under another generation.
struct ChooseCandidate
{
    GroupId group;
    std::uint64_t generation = 0;
    TargetId candidate;
    InstanceId chooser;
};

// One start of a pooler's process that may be given a lease.
struct PoolerRun
{
    InstanceId pooler;
    // New for each start of the process.
    std::uint64_t incarnation = 0;
    // A later start of the same pooler registered. Never undone, so that a late message of this
    // start ends nothing.
    bool hasEnded = false;
};

using PoolerRuns = std::map<std::pair<InstanceId, std::uint64_t>, PoolerRun>;

// Precedes the first lease of a pooler's start, and ends earlier starts. Without effect for a start
// that ended.
struct RegisterPooler
{
    InstanceId pooler;
    std::uint64_t incarnation = 0;
};

// The start holds no lease any more.
struct ForgetPooler
{
    InstanceId pooler;
    std::uint64_t incarnation = 0;
};

using FleetCommand = std::variant<StoreConfiguration, RecordTarget, GrantAuthority, RevokeAuthority,
                                  ChooseCandidate, RegisterPooler, ForgetPooler>;

class FleetState
{
public:
    // Applies the entry at log index `index`. True when something changed.
    bool apply(std::uint64_t index, const FleetCommand &command);

    // Index of the entry that changed targets or authorities last.
    std::uint64_t viewRevision() const { return this->revision; }
    const ConfigurationDocument &configuration() const { return this->held; }
    const std::map<TargetId, RegisteredTarget> &targets() const { return this->registered; }
    const std::map<GroupId, PrimaryAuthority> &authorities() const { return this->primaries; }
    // Null for an unknown one.
    const RegisteredTarget *find(const TargetId &target) const;
    // False for a late call of an earlier start, of a target that left, or of one whose address
    // belongs to a later start.
    bool accepts(const RegisteredTarget &target) const;
    const PrimaryAuthority *authority(const GroupId &group) const;
    // By pooler and incarnation.
    const PoolerRuns &poolers() const { return this->poolerRuns; }
    // Null for an unknown one.
    const PoolerRun *findPooler(const InstanceId &pooler, std::uint64_t incarnation) const;
    // Poolers whose last start is known.
    std::size_t livePoolers() const { return this->liveCount; }

    // The whole state, for snapshots.
    struct Snapshot
    {
        std::uint64_t revision = 0;
        ConfigurationDocument configuration;
        std::vector<RegisteredTarget> targets;
        std::vector<PrimaryAuthority> authorities;
        std::vector<PoolerRun> poolers;
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
    void dropSupersededAt(const RegisteredTarget &target);

    std::uint64_t revision = 0;
    ConfigurationDocument held;
    std::map<TargetId, RegisteredTarget> registered;
    std::map<GroupId, PrimaryAuthority> primaries;
    // At most one run of a pooler has not ended.
    PoolerRuns poolerRuns;
    std::size_t liveCount = 0;
};

// Whether `next` was sent after `known`, which has the same target id.
bool isNewer(const RegisteredTarget &next, const RegisteredTarget &known);

} // namespace rhubarbweir
