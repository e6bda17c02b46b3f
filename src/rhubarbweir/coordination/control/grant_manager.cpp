// See grant_manager.hpp.
#include "rhubarbweir/coordination/control/grant_manager.hpp"

#include "rhubarbweir/coordination/control/holder_assignment.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace rhubarbweir {

namespace {

ProxyRun runOf(const GrantHolder &holder)
{
    return {holder.proxy, holder.incarnation};
}

void raiseToMaximum(TargetShares &shares, const TargetShares &others)
{
    for (const auto &[target, share] : others) {
        TargetShare &raised = shares[target];
        raised.slots = std::max(raised.slots, share.slots);
        raised.connections = std::max(raised.connections, share.connections);
    }
}

bool containsRun(const std::vector<GrantHolder> &holders, const GrantHolder &wanted)
{
    return std::any_of(holders.begin(), holders.end(),
                       [&](const GrantHolder &each) { return runOf(each) == runOf(wanted); });
}

std::string describe(const std::vector<GrantHolder> &holders)
{
    std::string text;
    for (const GrantHolder &holder : holders) {
        text += text.empty() ? "" : ",";
        text += holder.proxy.value + "@" + holder.failureDomain.value;
        if (!holder.shares.empty())
            text += "=" + std::to_string(holder.shares.begin()->second.slots) + "/"
                    + std::to_string(holder.shares.begin()->second.connections);
    }
    return text.empty() ? "none" : text;
}

// A single slot cannot be divided between two holders.
std::size_t holderCount(const TargetShares &limits)
{
    const bool isDivisible = std::any_of(limits.begin(), limits.end(), [](const auto &limit) {
        return limit.second.slots >= MaxHolders;
    });
    return isDivisible ? MaxHolders : 1;
}

} // namespace

GrantManager::GrantManager(const ControlContext &controlContext)
    : context(controlContext)
{
}

void GrantManager::beginOffice()
{
    this->supersededByGroup.clear();
}

void GrantManager::onReplaced(const GroupId &group, const GroupGrants &before,
                              std::uint64_t revision)
{
    if (!before.holders.empty())
        this->supersededByGroup[group].push_back({revision, before.holders});
}

void GrantManager::advanceGroup(const GroupId &group, TimePoint now)
{
    const GroupGrants &committed = this->context.state.grantsOf(group);
    GrantInputs inputs;
    inputs.limits = this->limitsOf(group);
    if (this->isSettled(group, inputs.limits, now))
        return;
    inputs.desired = this->desiredFor(group, inputs.limits, now);
    inputs.committed = committed.holders;
    inputs.usable = this->usableShares(group, now);
    inputs.opened = this->openShares(inputs.limits);
    // Before the first grant no earlier one can be in force.
    inputs.mayGrow = now >= this->context.leases.graceEnd() || committed.epoch == 0;
    std::vector<GrantHolder> planned = planGrants(inputs);
    this->retainDraining(group, inputs, planned, now);
    if (planned == committed.holders)
        return;
    SetGrants command{group, committed.epoch, planned, this->describeCause(group, planned, now)};
    this->context.proposer.proposeOnce({ProposalTopic::Grants, group.value}, std::move(command),
                                       now);
}

bool GrantManager::isSettled(const GroupId &group, const TargetShares &limits, TimePoint now) const
{
    const std::vector<GrantHolder> &holders = this->context.state.grantsOf(group).holders;
    const auto superseded = this->supersededByGroup.find(group);
    if (holders.size() != holderCount(limits) || now < this->context.leases.graceEnd()
        || (superseded != this->supersededByGroup.end() && !superseded->second.empty()))
        return false;
    std::set<FailureDomainId> domains;
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const ProxyLease *lease = this->context.leases.find(runOf(holders[index]));
        if (lease == nullptr || lease->isRetired || lease->draining || now >= lease->endsAt
            || lease->address != holders[index].address
            || holders[index].shares.size() != limits.size())
            return false;
        domains.insert(holders[index].failureDomain);
        for (const auto &[target, limit] : limits) {
            const auto share = holders[index].shares.find(target);
            if (share == holders[index].shares.end()
                || share->second != shareOf(limit, index, holders.size()))
                return false;
        }
    }
    return domains.size() == holders.size();
}

TargetShares GrantManager::limitsOf(const GroupId &group) const
{
    TargetShares limits;
    const GroupRecord *record = this->context.state.findGroup(group);
    if (record == nullptr)
        return limits;
    for (const auto &[target, member] : record->members) {
        const TargetLimits own = limitsIn(this->context.state.table().rows(), group, target);
        limits[target] = {own.slots, own.connections};
    }
    return limits;
}

std::vector<GrantHolder>
GrantManager::candidatesFor(const GroupId &group, const TargetShares &limits, TimePoint now) const
{
    const LeaseBook &leases = this->context.leases;
    const std::vector<GrantHolder> &present = this->context.state.grantsOf(group).holders;
    std::vector<GrantHolder> candidates;
    for (const auto &[run, lease] : leases.all()) {
        if (lease.isRetired || lease.draining || now >= lease.endsAt)
            continue;
        GrantHolder candidate{run.proxy, run.incarnation, lease.address, lease.failureDomain, {}};
        if (containsRun(present, candidate)
            || !this->mayHaveEarlierRun(candidate, group, limits, now))
            candidates.push_back(std::move(candidate));
    }
    if (now >= leases.graceEnd())
        return candidates;
    // After a change of the leader, holders get time to renew their leases with the new one.
    for (const GrantHolder &holder : present) {
        if (leases.current(holder.proxy) == nullptr)
            candidates.push_back(holder);
    }
    return candidates;
}

// Whether an earlier run of the proxy may still have connections or slots open at the targets.
bool GrantManager::mayHaveEarlierRun(const GrantHolder &candidate, const GroupId &group,
                                     const TargetShares &limits, TimePoint now) const
{
    const auto &present = this->context.state.grantsOf(group).holders;
    const auto superseded = this->supersededByGroup.find(group);
    const auto isSameProxy = [&candidate](const GrantHolder &each) {
        return each.proxy == candidate.proxy;
    };
    if (std::any_of(present.begin(), present.end(), isSameProxy))
        return true;
    if (superseded != this->supersededByGroup.end()) {
        for (const SupersededGrants &grants : superseded->second) {
            if (std::any_of(grants.holders.begin(), grants.holders.end(), isSameProxy))
                return true;
        }
    }
    // The last report of an unreachable target is outdated and therefore ignored. The target itself
    // enforces its limits.
    TargetShares alive = limits;
    for (const auto &[target, limit] : limits) {
        if (!this->context.targets.isAlive(target, now))
            alive.erase(target);
    }
    return this->openShares(alive).count(candidate.proxy) != 0;
}

std::vector<GrantHolder> GrantManager::desiredFor(const GroupId &group, const TargetShares &limits,
                                                  TimePoint now) const
{
    std::vector<GrantHolder> holders =
        chooseHolders(group, holderCount(limits), this->context.state.grantsOf(group).holders,
                      this->candidatesFor(group, limits, now));
    for (std::size_t index = 0; index < holders.size(); ++index) {
        for (const auto &[target, limit] : limits)
            holders[index].shares[target] = shareOf(limit, index, holders.size());
    }
    return holders;
}

void GrantManager::retainDraining(const GroupId &group, const GrantInputs &inputs,
                                  std::vector<GrantHolder> &planned, TimePoint now) const
{
    for (const GrantHolder &holder : this->context.state.grantsOf(group).holders) {
        const ProxyLease *lease = this->context.leases.find(runOf(holder));
        const auto opened = inputs.opened.find(holder.proxy);
        const bool isKept = lease != nullptr && lease->draining && !lease->isRetired
                            && now < lease->endsAt && now < lease->drainDeadline
                            && opened != inputs.opened.end() && !containsRun(planned, holder);
        if (!isKept)
            continue;
        GrantHolder kept = holder;
        kept.shares.clear();
        for (const auto &[target, share] : holder.shares) {
            const auto use = opened->second.find(target);
            const std::uint32_t inUse = use == opened->second.end() ? 0 : use->second.slots;
            const std::uint32_t slots = std::min(share.slots, inUse);
            if (slots != 0)
                kept.shares[target] = {slots, std::min(share.connections, slots)};
        }
        if (!kept.shares.empty())
            planned.push_back(std::move(kept));
    }
}

std::map<ProxyRun, TargetShares> GrantManager::usableShares(const GroupId &group, TimePoint now)
{
    std::map<ProxyRun, TargetShares> usable;
    // The committed holders may renew their leases at any time, so their grants count as usable
    // even without a lease.
    for (const GrantHolder &holder : this->context.state.grantsOf(group).holders)
        raiseToMaximum(usable[runOf(holder)], holder.shares);
    std::vector<SupersededGrants> &superseded = this->supersededByGroup[group];
    const auto hasExpired = [&](const SupersededGrants &grants) {
        return std::none_of(
            grants.holders.begin(), grants.holders.end(), [&](const GrantHolder &holder) {
                return this->context.leases.mayUseBefore(runOf(holder), grants.replacedAt, now);
            });
    };
    superseded.erase(std::remove_if(superseded.begin(), superseded.end(), hasExpired),
                     superseded.end());
    for (const SupersededGrants &grants : superseded) {
        for (const GrantHolder &holder : grants.holders) {
            if (this->context.leases.mayUseBefore(runOf(holder), grants.replacedAt, now))
                raiseToMaximum(usable[runOf(holder)], holder.shares);
        }
    }
    return usable;
}

std::map<InstanceId, TargetShares> GrantManager::openShares(const TargetShares &limits) const
{
    std::map<InstanceId, TargetShares> opened;
    for (const auto &[target, limit] : limits) {
        const RegisteredTarget *known = this->context.targets.find(target);
        if (known == nullptr)
            continue;
        for (const HolderUse &use : known->uses) {
            if (use.slots != 0 || use.connections != 0)
                opened[use.holder][target] = {use.slots, use.connections};
        }
    }
    return opened;
}

std::string GrantManager::describeCause(const GroupId &group,
                                        const std::vector<GrantHolder> &planned,
                                        TimePoint now) const
{
    std::string cause;
    for (const GrantHolder &holder : this->context.state.grantsOf(group).holders) {
        if (containsRun(planned, holder))
            continue;
        const ProxyLease *lease = this->context.leases.find(runOf(holder));
        cause += holder.proxy.value;
        if (lease == nullptr || now >= lease->endsAt)
            cause += " has no lease; ";
        else if (lease->isRetired)
            cause += " was restarted; ";
        else
            cause += lease->draining ? " is draining; " : " is replaced; ";
    }
    return cause + "holders " + describe(planned);
}

} // namespace rhubarbweir
