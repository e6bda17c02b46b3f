// Tests of ControlNode in specific scenarios: views and leases, operators, leaving targets, and
// planned changes.
#include "rhubarbweir/coordination/control/observation_tracker.hpp"
#include "unit/group_fakes.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

// Three control instances without databases. The test acts as proxies and operators.
class ControlFixture
{
public:
    ControlFixture()
        : simulation(1)
        , controls(simulation, 3)
    {
        this->controls.toProxy = [this](FakeControls::Instance &, ConnectionId connection,
                                        const ProxyReply &reply) {
            this->proxyReplies.push_back(reply);
            this->lastConnection = connection;
        };
        this->controls.toOperator = [this](FakeControls::Instance &, ConnectionId,
                                           const OperatorReply &reply) {
            this->operatorReplies.push_back(reply);
        };
        this->simulation.runFor(std::chrono::seconds(1));
    }

    ControlNode &leader() { return *this->controls.leader()->node; }

    void announce(const std::string &target, ConnectionId connection, const std::string &group)
    {
        Announcement message;
        message.status.target = TargetId(target);
        message.status.group = GroupId(group);
        message.address = target;
        message.failureDomain = FailureDomainId("domain-1");
        this->leader().receiveFromTarget(connection, message, this->simulation.now());
        this->settle();
    }

    // Sends `node` an edit of one row of group "g".
    void edit(ControlNode &node, const std::string &requestId, std::string_view field,
              const std::string &value, std::uint64_t version)
    {
        const RowKey key{RowScope::Group, "g", std::string(field)};
        node.receiveFromOperator(1, TableEdit{requestId, "anna", {{key, version, value, false}}},
                                 this->simulation.now());
    }

    TableEditResult lastEdit()
    {
        this->settle();
        return std::get<TableEditResult>(this->operatorReplies.back());
    }

    ProxyReply renew(ControlNode &node, std::uint64_t revision, std::uint64_t incarnation = 1,
                     ConnectionId connection = 7)
    {
        RenewLease message;
        message.proxy = InstanceId("proxy-1");
        message.failureDomain = FailureDomainId("domain-1");
        message.incarnation = incarnation;
        message.sequence = ++this->sequence;
        message.revision = revision;
        this->proxyReplies.clear();
        node.receiveFromProxy(connection, message, this->simulation.now());
        return this->proxyReplies.front();
    }

    void settle() { this->simulation.runFor(milliseconds(100)); }

    Simulation simulation;
    FakeControls controls;
    std::vector<ProxyReply> proxyReplies;
    std::vector<OperatorReply> operatorReplies;
    ConnectionId lastConnection = 0;
    std::uint64_t sequence = 0;
};

void setTargetRow(FakeGroup &group, const TargetId &target, std::string_view field,
                  const std::string &value)
{
    const RowKey key{RowScope::Target, target.value, std::string(field)};
    group.controls.leader()->node->receiveFromOperator(
        1, TableEdit{"set-" + target.value, "anna", {{key, 0, value, false}}},
        group.simulation.now());
}

} // namespace

Test(control_node, edits_survive_a_leader_change,
     .description = "an edit lost with its leader is answered as unknown, and repeating it returns "
                    "the first result")
{
    ControlFixture fixture;
    fixture.edit(fixture.leader(), "e0", SizeField, "3", 0);
    cr_assert(fixture.lastEdit().outcome == EditOutcome::Accepted);
    fixture.edit(fixture.leader(), "e1", SlotsField, "2", 0);
    fixture.settle();
    fixture.operatorReplies.clear();
    fixture.edit(fixture.leader(), "e2", QueueLimitField, "10", 0);
    fixture.controls.replaceLeader();
    fixture.simulation.runFor(std::chrono::seconds(4));
    cr_assert(fixture.operatorReplies.size() == 1);
    cr_assert(fixture.lastEdit().outcome == EditOutcome::Unknown);
    const std::uint64_t before = fixture.leader().state().revision();
    fixture.edit(fixture.leader(), "e1", SlotsField, "2", 0);
    cr_assert(fixture.lastEdit().outcome == EditOutcome::Accepted);
    cr_assert(fixture.lastEdit().revision < before);
    cr_assert(fixture.leader().state().revision() == before);
    fixture.edit(fixture.leader(), "e2", QueueLimitField, "10", 0);
    cr_assert(fixture.lastEdit().outcome == EditOutcome::Accepted);
    fixture.edit(fixture.leader(), "e3", QueueLimitField, "11", 0);
    cr_assert(fixture.lastEdit().outcome == EditOutcome::VersionConflict);
}

Test(control_node, non_leaders_name_the_leader,
     .description = "an instance that is not the leader names the leader and changes nothing")
{
    ControlFixture fixture;
    ControlNode &other = *fixture.controls.instances[1].node;
    fixture.edit(other, "e0", SizeField, "3", 0);
    cr_assert(fixture.lastEdit().outcome == EditOutcome::NotLeader);
    cr_assert(fixture.lastEdit().leaderAddress == "control-1");
    cr_assert(std::get<LeaseRefused>(fixture.renew(other, 0)).leaderAddress == "control-1");
}

Test(control_node, disconnected_leader_grants_no_lease,
     .description = "a leader without a quorum grants no lease and answers no query")
{
    ControlFixture fixture;
    ControlNode &old = fixture.leader();
    cr_assert(std::holds_alternative<LeaseGranted>(fixture.renew(old, 0)));
    fixture.simulation.cutOff("control-1");
    fixture.controls.replaceLeader();
    fixture.simulation.runFor(std::chrono::seconds(1));
    cr_assert(std::holds_alternative<LeaseRefused>(fixture.renew(old, 0)));
    old.receiveFromOperator(1, TableQuery{}, fixture.simulation.now());
    cr_assert(std::get<TableRows>(fixture.operatorReplies.back()).revision == 0);
    fixture.edit(old, "e0", SizeField, "3", 0);
    fixture.simulation.runFor(std::chrono::seconds(4));
    cr_assert(fixture.lastEdit().outcome == EditOutcome::Unknown);
    cr_assert(fixture.leader().state().table().rows().empty());
}

Test(control_node, restart_after_many_changes,
     .description =
         "a proxy without state gets the whole view at once, also from a restored instance")
{
    ControlFixture fixture;
    fixture.announce("t1", 11, "g");
    fixture.edit(fixture.leader(), "e0", SizeField, "3", 0);
    for (std::uint64_t change = 0; change < 300; ++change) {
        fixture.edit(fixture.leader(), "c" + std::to_string(change), SlotsField,
                     std::to_string(1 + change % 5), change);
        fixture.simulation.runFor(milliseconds(20));
    }
    fixture.settle();
    const auto granted = std::get<LeaseGranted>(fixture.renew(fixture.leader(), 0));
    cr_assert(granted.delta.fromRevision == 0);
    cr_assert(granted.delta.toRevision == fixture.leader().state().revision());
    cr_assert(granted.delta.groups.size() == 1);
    ControlNode &stale = *fixture.controls.instances[2].node;
    const std::string bytes = fixture.leader().snapshot();
    cr_assert(stale.restore(bytes, fixture.simulation.now()).ok());
    cr_assert(stale.snapshot() == bytes);
    cr_assert(absl::IsInvalidArgument(stale.restore("torn", fixture.simulation.now())));
    cr_assert(stale.snapshot() == bytes);
}

Test(control_node, views_never_regress,
     .description =
         "a proxy with a newer revision than the instance gets neither a lease nor an older view")
{
    ControlFixture fixture;
    fixture.edit(fixture.leader(), "e0", SizeField, "3", 0);
    fixture.settle();
    const std::uint64_t revision = fixture.leader().state().revision();
    cr_assert(std::holds_alternative<LeaseRefused>(fixture.renew(fixture.leader(), revision + 1)));
    const auto same = std::get<LeaseGranted>(fixture.renew(fixture.leader(), revision));
    cr_assert(same.delta.toRevision == revision && same.delta.groups.empty());
}

Test(control_node, pushes_and_reports_revisions_in_force,
     .description =
         "an edit is pushed at once and counts as in force once the proxy reports its revision")
{
    ControlFixture fixture;
    fixture.announce("t1", 11, "g");
    fixture.renew(fixture.leader(), 0);
    fixture.settle();
    fixture.proxyReplies.clear();
    fixture.edit(fixture.leader(), "e0", QueueLimitField, "9", 0);
    const std::uint64_t revision = fixture.lastEdit().revision;
    cr_assert(!fixture.proxyReplies.empty());
    const auto pushed = std::get<ViewChanged>(fixture.proxyReplies.back());
    cr_assert(pushed.delta.toRevision == revision);
    cr_assert(pushed.delta.groups[0].queueLimit == 9);
    const auto ask = [&] {
        fixture.leader().receiveFromOperator(1, InForceQuery{revision}, fixture.simulation.now());
        return std::get<InForceReport>(fixture.operatorReplies.back());
    };
    cr_assert(ask().behind.size() == 1 && ask().inForce == 0);
    fixture.renew(fixture.leader(), revision);
    cr_assert(ask().behind.empty() && ask().inForce == 1);
    // A disconnected proxy no longer counts once its lease has ended, within 3 s.
    fixture.simulation.runFor(milliseconds(2200));
    cr_assert(ask().behind.empty() && ask().inForce == 0);
}

Test(control_node, refuses_unexpected_targets,
     .description = "targets beyond the group size or from another group are refused")
{
    ControlFixture fixture;
    fixture.edit(fixture.leader(), "e0", SizeField, "2", 0);
    fixture.settle();
    fixture.announce("t1", 11, "g");
    fixture.announce("t2", 12, "g");
    fixture.announce("t3", 13, "g");
    fixture.announce("t1", 14, "h");
    cr_assert(fixture.leader().state().findGroup(GroupId("g"))->members.size() == 2);
    cr_assert(fixture.leader().state().findGroup(GroupId("h")) == nullptr);
}

Test(control_node, one_domain_causes_no_suspicion,
     .description = "observers in a single failure domain do not cause a failover")
{
    const auto livenessReport = [](const char *who, const char *domain, ObservedState state,
                                   bool isHolder = false) {
        return LivenessReport{InstanceId(who), FailureDomainId(domain), state, isHolder};
    };
    const auto broken = ObservedState::Broken;
    const auto alive = ObservedState::Alive;
    cr_assert(!assessLiveness({livenessReport("a", "1", broken), livenessReport("b", "1", broken)})
                   .isSuspected);
    cr_assert(assessLiveness({livenessReport("a", "1", broken), livenessReport("b", "2", broken)})
                  .isSuspected);
    cr_assert(!assessLiveness({livenessReport("a", "1", broken), livenessReport("b", "2", broken),
                               livenessReport("c", "1", alive)})
                   .isSuspected);
    cr_assert(!assessLiveness({livenessReport("a", "1", broken), livenessReport("b", "2", broken),
                               livenessReport("c", "3", alive), livenessReport("d", "4", alive)})
                   .isSuspected);
    cr_assert(assessLiveness({livenessReport("p", "1", broken, true),
                              livenessReport("q", "2", broken, true),
                              livenessReport("c", "3", alive), livenessReport("d", "4", alive)})
                  .isSuspected);
}

Test(control_node, leaving_primary_moves,
     .description =
         "the primary moves off a leaving target, and proxies see that the target is leaving")
{
    FakeGroup group(5);
    group.simulation.runFor(std::chrono::seconds(4));
    const TargetId former = group.record()->primary;
    setTargetRow(group, former, LeavingField, "1");
    group.simulation.runFor(std::chrono::seconds(3));
    cr_assert(group.isSteady());
    cr_assert(group.record()->primary != former);
    for (const FakeProxy &proxy : group.proxies) {
        cr_assert(proxy.view.primary != former);
        for (const TargetView &target : proxy.view.targets)
            cr_assert(target.leaving == (target.target == former));
    }
    // If no replica can take over, the primary stays where it is.
    for (const FakeTarget &target : group.targets)
        setTargetRow(group, target.id, LeavingField, "1");
    const std::uint64_t term = group.record()->term;
    group.simulation.runFor(std::chrono::seconds(3));
    cr_assert(group.isSteady() && group.record()->term == term);
}

Test(control_node, planned_change_is_cancelled,
     .description =
         "if the replica does not catch up, the primary stays and held writes are released")
{
    FakeGroup group(6);
    group.simulation.runFor(std::chrono::seconds(4));
    const TargetId former = group.record()->primary;
    const std::uint64_t term = group.record()->term;
    std::size_t replica = 0;
    while (group.targets[replica].id == former)
        ++replica;
    group.targets[replica].source = -1;
    group.simulation.runFor(milliseconds(100));
    std::vector<PlannedChangeResult> results;
    group.controls.toOperator = [&](FakeControls::Instance &, ConnectionId,
                                    const OperatorReply &reply) {
        results.push_back(std::get<PlannedChangeResult>(reply));
    };
    const PlannedChange request{"p1", group.group, group.targets[replica].id};
    ControlNode &leader = *group.controls.leader()->node;
    leader.receiveFromOperator(1, request, group.simulation.now());
    group.simulation.runFor(milliseconds(500));
    cr_assert(results.size() == 1 && results[0].accepted);
    cr_assert(group.proxies[0].view.writesHeld);
    group.simulation.runFor(std::chrono::seconds(3));
    cr_assert(group.isSteady() && group.record()->primary == former);
    cr_assert(group.record()->term == term && !group.proxies[0].view.writesHeld);
    leader.receiveFromOperator(1, request, group.simulation.now());
    cr_assert(results.size() == 2 && results[1].accepted,
              "a repeated request gets the first answer");
    leader.receiveFromOperator(1, PlannedChange{"p2", GroupId("x"), {}}, group.simulation.now());
    cr_assert(results.back().reason == Reason::UnknownGroup);
}

Test(control_node, second_loss_during_promotion,
     .description =
         "if the chosen target is lost too, the group waits for a majority and then recovers")
{
    FakeGroup group(7);
    group.simulation.runFor(std::chrono::seconds(4));
    const int primary = group.indexOf(group.record()->primary);
    group.stopTarget(primary);
    while (group.record()->phase != GroupPhase::Promoting)
        group.simulation.runFor(milliseconds(1));
    const int chosen = group.indexOf(group.record()->chosen);
    group.stopTarget(chosen);
    // The control leader is lost during the promotion as well.
    group.controls.replaceLeader();
    group.simulation.runFor(std::chrono::seconds(3));
    cr_assert(!group.isSteady());
    const std::uint64_t confirmed = group.confirmed.size();
    // The chosen target does not return, but the former primary does.
    group.simulation.start(group.targets[primary].id.value);
    group.simulation.runFor(std::chrono::seconds(4));
    cr_assert(group.isSteady());
    cr_assert(group.confirmed.size() > confirmed);
    group.checkHoldsConfirmed(group.targets[group.indexOf(group.record()->primary)]);
}

Test(control_node, status_shows_causes,
     .description = "the status report shows why a primary was replaced")
{
    FakeGroup group(8);
    group.simulation.runFor(std::chrono::seconds(4));
    group.stopTarget(group.indexOf(group.record()->primary));
    group.simulation.runFor(std::chrono::seconds(2));
    StatusReport report;
    group.controls.toOperator = [&](FakeControls::Instance &, ConnectionId,
                                    const OperatorReply &reply) {
        report = std::get<StatusReport>(reply);
    };
    group.controls.leader()->node->receiveFromOperator(1, StatusQuery{}, group.simulation.now());
    const bool isExplained = std::any_of(
        report.recentActions.begin(), report.recentActions.end(), [](const ActionRecord &action) {
            return action.action == "term_begun"
                   && action.cause.find("=broken") != std::string::npos;
        });
    cr_assert(isExplained);
    cr_assert(report.groups.size() == 1 && report.proxies.size() == 2);
}
