// Tests of a pooler with many targets: the index by group, and connections only to groups in use.
#include "fakes/pooler_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;
using std::chrono::seconds;

namespace {

constexpr unsigned OtherGroups = 20;

RegisteredTarget otherTarget(unsigned group, unsigned member)
{
    RegisteredTarget target;
    target.target = TargetId(absl::StrCat("o", group, "-", member));
    target.group = GroupId(absl::StrCat("o", group));
    target.address = absl::StrCat("o:", 10 * group + member);
    target.failureDomain = FailureDomainId(absl::StrCat("d", member));
    return target;
}

// Adds enough groups that a pooler must not keep connections to all targets.
void addGroups(PoolerFixture &fixture)
{
    ++fixture.view.revision;
    for (unsigned group = 0; group < OtherGroups; ++group) {
        for (unsigned member = 0; member < 3; ++member)
            fixture.view.targets.push_back(otherTarget(group, member));
    }
    fixture.pooler.viewReceived(fixture.view, fixture.now);
    RouteTable routes = PoolerFixture::routes(2);
    for (unsigned group = 0; group < OtherGroups; ++group)
        routes.groups[GroupId(absl::StrCat("o", group))].maxConnections = 40;
    fixture.pooler.routesReceived(routes, fixture.now);
}

// Lets time pass without statements; the lease is kept.
void rest(PoolerFixture &fixture, Duration time)
{
    for (Duration rested{0}; rested < time; rested += milliseconds(500)) {
        fixture.extendLease(milliseconds(4000));
        fixture.advance(milliseconds(500));
        fixture.openConnections();
    }
}

// Targets that the pooler has connections to.
std::set<TargetId> connectedTargets(const PoolerFixture &fixture)
{
    std::set<TargetId> connected;
    for (const auto &[connection, target] : fixture.targetOf) {
        if (fixture.closedConnections.count(connection) == 0)
            connected.insert(target);
    }
    return connected;
}

} // namespace

Test(pooler_scale, connections_to_groups_in_use,
     .description = "With many targets, connections are kept only to groups that callers use: 300 "
                    "poolers must not hold 240 connections each")
{
    PoolerFixture fixture;
    addGroups(fixture);
    rest(fixture, seconds(2));
    cr_assert(connectedTargets(fixture).empty());
    fixture.submit(fixture.open("latest"), TextStatementKind::Read, "r");
    fixture.answerAll();
    rest(fixture, seconds(30));
    const std::set<TargetId> used = {PoolerFixture::Primary, PoolerFixture::ReplicaA,
                                     PoolerFixture::ReplicaB};
    cr_assert(connectedTargets(fixture) == used);
    rest(fixture, seconds(40));
    cr_assert(connectedTargets(fixture).empty());
}

Test(pooler_scale, connections_to_few_targets,
     .description = "With few targets, connections are kept without any statement, as before")
{
    PoolerFixture fixture;
    rest(fixture, seconds(100));
    cr_assert_eq(connectedTargets(fixture).size(), 3);
}

Test(pooler_scale, failed_target_of_unused_group,
     .description = "A target that failed is tried again after its group is no longer used; "
                    "otherwise the pooler would complain of it for ever")
{
    PoolerFixture fixture;
    addGroups(fixture);
    fixture.submit(fixture.open("latest"), TextStatementKind::Read, "r");
    fixture.answerAll();
    rest(fixture, seconds(59));
    for (const auto &[connection, target] : std::map(fixture.targetOf)) {
        if (target == PoolerFixture::ReplicaB && fixture.closedConnections.count(connection) == 0)
            fixture.closeConnection(connection);
    }
    fixture.closeConnection(fixture.opening.front().first, TargetFailure::Refused);
    cr_assert_eq(fixture.pooler.observations().size(), 1);
    rest(fixture, seconds(10));
    cr_assert(fixture.pooler.observations().empty());
    cr_assert(connectedTargets(fixture).empty());
}

namespace {

// A view with random targets and primaries, and the random changes that lead to it.
class RandomView
{
public:
    explicit RandomView(std::uint64_t seed)
        : random(seed)
    {
    }

    FleetView change()
    {
        FleetView change;
        change.baseRevision = this->whole.revision;
        change.revision = ++this->whole.revision;
        for (std::uint64_t count = this->pick(4); count > 0; --count) {
            RegisteredTarget target;
            target.target = TargetId(absl::StrCat("t", this->pick(9)));
            target.group = GroupId(absl::StrCat("g", this->pick(3)));
            target.failureDomain = FailureDomainId(absl::StrCat("d", this->pick(3)));
            target.phase = this->pick(4) == 0 ? TargetPhase::Draining : TargetPhase::Ready;
            target.born = static_cast<std::int64_t>(this->pick(2));
            this->targets[target.target] = target;
            change.targets.push_back(target);
        }
        const TargetId removed(absl::StrCat("t", this->pick(9)));
        const bool isRecorded =
            std::any_of(change.targets.begin(), change.targets.end(),
                        [&removed](const auto &target) { return target.target == removed; });
        if (!isRecorded) {
            this->targets.erase(removed);
            change.removedTargets.push_back(removed);
        }
        PrimaryAuthority authority;
        authority.group = GroupId(absl::StrCat("g", this->pick(3)));
        authority.primary = TargetId(absl::StrCat("t", this->pick(9)));
        this->authorities[authority.group] = authority;
        change.authorities.push_back(authority);
        return change;
    }

    FleetView complete() const
    {
        FleetView view;
        view.revision = this->whole.revision;
        for (const auto &[id, target] : this->targets)
            view.targets.push_back(target);
        for (const auto &[group, authority] : this->authorities)
            view.authorities.push_back(authority);
        return view;
    }

private:
    std::uint64_t pick(std::uint64_t below) { return this->random() % below; }

    std::mt19937_64 random;
    FleetView whole;
    std::map<TargetId, RegisteredTarget> targets;
    std::map<GroupId, PrimaryAuthority> authorities;
};

TargetId homeOf(const TargetTracker &tracker, const GroupId &group)
{
    const TargetRecord *home = tracker.group(group).home;
    return home == nullptr ? TargetId() : home->target.target;
}

std::vector<TargetId> membersOf(const TargetTracker &tracker, const GroupId &group)
{
    std::vector<TargetId> ids;
    for (const TargetRecord *member : tracker.group(group).members)
        ids.push_back(member->target.target);
    return ids;
}

} // namespace

Test(pooler_scale, changes_and_whole_views,
     .description = "After any changes, the index by group and the home replicas are those of the "
                    "whole view; a stale index would send statements to the wrong group")
{
    const TimePoint now(seconds(1));
    PoolerSettings settings;
    settings.instance = InstanceId("pooler");
    settings.failureDomain = FailureDomainId("d0");
    const std::vector<GroupId> groups = {GroupId("g0"), GroupId("g1"), GroupId("g2")};
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        RandomView views(seed);
        AuthorityView changedView;
        TargetTracker changed(settings);
        for (int step = 0; step < 30; ++step) {
            const FleetView change = views.change();
            cr_assert(changedView.update(change, now));
            changed.applyView(changedView, change, now);
            AuthorityView wholeView;
            TargetTracker whole(settings);
            cr_assert(wholeView.update(views.complete(), now));
            whole.applyView(wholeView, views.complete(), now);
            for (const GroupId &group : groups) {
                cr_assert(membersOf(changed, group) == membersOf(whole, group), "seed %lu", seed);
                cr_assert_eq(homeOf(changed, group), homeOf(whole, group), "seed %lu", seed);
                cr_assert_eq(changed.group(group).replicas, whole.group(group).replicas);
            }
        }
    }
}
