// Focused tests of ControlNode: views and leases, operators, leaving targets, planned changes.
#include "rhubarbweir/coordination/control/observation_book.hpp"
#include "unit/group_fakes.hpp"

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

// Three control instances without databases; proxies and operators are played by the test.
class Bench
{
public:
    Bench()
        : world(1)
        , controls(world, 3)
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
        this->world.runFor(std::chrono::seconds(1));
    }

    ControlNode &leader() { return *this->controls.leader()->node; }

    void announce(const std::string &target, ConnectionId connection, const std::string &group)
    {
        Announcement message;
        message.status.target = TargetId(target);
        message.status.group = GroupId(group);
        message.address = target;
        message.failureDomain = FailureDomainId("domain-1");
        this->leader().receiveFromTarget(connection, message, this->world.now());
        this->settle();
    }

    // Sends an edit of one row of group "g" to `node`.
    void edit(ControlNode &node, const std::string &requestId, std::string_view field,
              const std::string &value, std::uint64_t version)
    {
        const RowKey key{RowScope::Group, "g", std::string(field)};
        node.receiveFromOperator(1, TableEdit{requestId, "anna", {{key, version, value, false}}},
                                 this->world.now());
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
        node.receiveFromProxy(connection, message, this->world.now());
        return this->proxyReplies.front();
    }

    void settle() { this->world.runFor(milliseconds(100)); }

    World world;
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
        1, TableEdit{"set-" + target.value, "anna", {{key, 0, value, false}}}, group.world.now());
}

} // namespace

Test(
    control_node, edits_survive_a_leader_change,
    .description = "trap 7: an edit without an answer is unknown; its resend gets the first result")
{
    Bench bench;
    bench.edit(bench.leader(), "e0", SizeField, "3", 0);
    cr_assert(bench.lastEdit().outcome == EditOutcome::Accepted);
    bench.edit(bench.leader(), "e1", SlotsField, "2", 0);
    bench.settle();
    bench.operatorReplies.clear();
    bench.edit(bench.leader(), "e2", QueueLimitField, "10", 0);
    bench.controls.replaceLeader();
    bench.world.runFor(std::chrono::seconds(4));
    cr_assert(bench.operatorReplies.size() == 1);
    cr_assert(bench.lastEdit().outcome == EditOutcome::Unknown);
    const std::uint64_t before = bench.leader().state().revision();
    bench.edit(bench.leader(), "e1", SlotsField, "2", 0);
    cr_assert(bench.lastEdit().outcome == EditOutcome::Accepted);
    cr_assert(bench.lastEdit().revision < before);
    cr_assert(bench.leader().state().revision() == before);
    bench.edit(bench.leader(), "e2", QueueLimitField, "10", 0);
    cr_assert(bench.lastEdit().outcome == EditOutcome::Accepted);
    bench.edit(bench.leader(), "e3", QueueLimitField, "11", 0);
    cr_assert(bench.lastEdit().outcome == EditOutcome::VersionConflict);
}

Test(control_node, others_name_the_leader,
     .description = "an instance that does not lead changes nothing")
{
    Bench bench;
    ControlNode &other = *bench.controls.instances[1].node;
    bench.edit(other, "e0", SizeField, "3", 0);
    cr_assert(bench.lastEdit().outcome == EditOutcome::NotLeader);
    cr_assert(bench.lastEdit().leaderAddress == "control-1");
    cr_assert(std::get<LeaseRefused>(bench.renew(other, 0)).leaderAddress == "control-1");
}

Test(control_node, cut_off_leader_extends_nothing,
     .description = "trap 8: a leader without a quorum grants no lease and answers no query")
{
    Bench bench;
    ControlNode &old = bench.leader();
    cr_assert(std::holds_alternative<LeaseGranted>(bench.renew(old, 0)));
    bench.world.cutOff("control-1");
    bench.controls.replaceLeader();
    bench.world.runFor(std::chrono::seconds(1));
    cr_assert(std::holds_alternative<LeaseRefused>(bench.renew(old, 0)));
    old.receiveFromOperator(1, TableQuery{}, bench.world.now());
    cr_assert(std::get<TableRows>(bench.operatorReplies.back()).revision == 0);
    bench.edit(old, "e0", SizeField, "3", 0);
    bench.world.runFor(std::chrono::seconds(4));
    cr_assert(bench.lastEdit().outcome == EditOutcome::Unknown);
    cr_assert(bench.leader().state().table().rows().empty());
}

Test(control_node, restart_after_many_changes,
     .description = "trap 10: a proxy from nothing gets all at once, also from a restored instance")
{
    Bench bench;
    bench.announce("t1", 11, "g");
    bench.edit(bench.leader(), "e0", SizeField, "3", 0);
    for (std::uint64_t change = 0; change < 300; ++change) {
        bench.edit(bench.leader(), "c" + std::to_string(change), SlotsField,
                   std::to_string(1 + change % 5), change);
        bench.world.runFor(milliseconds(20));
    }
    bench.settle();
    const auto granted = std::get<LeaseGranted>(bench.renew(bench.leader(), 0));
    cr_assert(granted.delta.fromRevision == 0);
    cr_assert(granted.delta.toRevision == bench.leader().state().revision());
    cr_assert(granted.delta.groups.size() == 1);
    ControlNode &stale = *bench.controls.instances[2].node;
    const std::string bytes = bench.leader().snapshot();
    cr_assert(stale.restore(bytes, bench.world.now()).ok());
    cr_assert(stale.snapshot() == bytes);
    cr_assert(absl::IsInvalidArgument(stale.restore("torn", bench.world.now())));
    cr_assert(stale.snapshot() == bytes);
}

Test(control_node, views_never_go_back,
     .description = "a proxy that knows more than the instance gets no lease and no older view")
{
    Bench bench;
    bench.edit(bench.leader(), "e0", SizeField, "3", 0);
    bench.settle();
    const std::uint64_t revision = bench.leader().state().revision();
    cr_assert(std::holds_alternative<LeaseRefused>(bench.renew(bench.leader(), revision + 1)));
    const auto same = std::get<LeaseGranted>(bench.renew(bench.leader(), revision));
    cr_assert(same.delta.toRevision == revision && same.delta.groups.empty());
}

Test(control_node, pushes_and_reports_what_is_in_force,
     .description = "an edit is pushed at once and counts as in force when the proxy says so")
{
    Bench bench;
    bench.announce("t1", 11, "g");
    bench.renew(bench.leader(), 0);
    bench.settle();
    bench.proxyReplies.clear();
    bench.edit(bench.leader(), "e0", QueueLimitField, "9", 0);
    const std::uint64_t revision = bench.lastEdit().revision;
    cr_assert(!bench.proxyReplies.empty());
    const auto pushed = std::get<ViewChanged>(bench.proxyReplies.back());
    cr_assert(pushed.delta.toRevision == revision);
    cr_assert(pushed.delta.groups[0].queueLimit == 9);
    const auto ask = [&] {
        bench.leader().receiveFromOperator(1, InForceQuery{revision}, bench.world.now());
        return std::get<InForceReport>(bench.operatorReplies.back());
    };
    cr_assert(ask().behind.size() == 1 && ask().inForce == 0);
    bench.renew(bench.leader(), revision);
    cr_assert(ask().behind.empty() && ask().inForce == 1);
    // A proxy that is cut off drops out with its lease, within 3 s.
    bench.world.runFor(milliseconds(2200));
    cr_assert(ask().behind.empty() && ask().inForce == 0);
}

Test(control_node, refuses_strangers,
     .description = "targets beyond the size or of another group stay out")
{
    Bench bench;
    bench.edit(bench.leader(), "e0", SizeField, "2", 0);
    bench.settle();
    bench.announce("t1", 11, "g");
    bench.announce("t2", 12, "g");
    bench.announce("t3", 13, "g");
    bench.announce("t1", 14, "h");
    cr_assert(bench.leader().state().findGroup(GroupId("g"))->members.size() == 2);
    cr_assert(bench.leader().state().findGroup(GroupId("h")) == nullptr);
}

Test(control_node, one_domain_is_no_loss,
     .description = "observers in one failure domain start no term")
{
    const auto sighting = [](const char *who, const char *domain, ObservedState state,
                             bool isHolder = false) {
        return Sighting{InstanceId(who), FailureDomainId(domain), state, isHolder};
    };
    const auto broken = ObservedState::Broken;
    const auto alive = ObservedState::Alive;
    cr_assert(!assess({sighting("a", "1", broken), sighting("b", "1", broken)}).isSuspected);
    cr_assert(assess({sighting("a", "1", broken), sighting("b", "2", broken)}).isSuspected);
    cr_assert(
        !assess({sighting("a", "1", broken), sighting("b", "2", broken), sighting("c", "1", alive)})
             .isSuspected);
    cr_assert(!assess({sighting("a", "1", broken), sighting("b", "2", broken),
                       sighting("c", "3", alive), sighting("d", "4", alive)})
                   .isSuspected);
    cr_assert(assess({sighting("p", "1", broken, true), sighting("q", "2", broken, true),
                      sighting("c", "3", alive), sighting("d", "4", alive)})
                  .isSuspected);
}

Test(control_node, leaving_primary_moves,
     .description = "trap 11: a leaving primary hands over, and proxies see it leaving at once")
{
    FakeGroup group(5);
    group.world.runFor(std::chrono::seconds(4));
    const TargetId former = group.record()->primary;
    setTargetRow(group, former, LeavingField, "1");
    group.world.runFor(std::chrono::seconds(3));
    cr_assert(group.isSteady());
    cr_assert(group.record()->primary != former);
    for (const FakeProxy &proxy : group.proxies) {
        cr_assert(proxy.view.primary != former);
        for (const TargetView &target : proxy.view.targets)
            cr_assert(target.leaving == (target.target == former));
    }
    // A move that cannot be done leaves the primary where it is.
    for (const FakeTarget &target : group.targets)
        setTargetRow(group, target.id, LeavingField, "1");
    const std::uint64_t term = group.record()->term;
    group.world.runFor(std::chrono::seconds(3));
    cr_assert(group.isSteady() && group.record()->term == term);
}

Test(control_node, planned_change_is_called_off,
     .description = "a replica that does not catch up keeps the primary and releases the writes")
{
    FakeGroup group(6);
    group.world.runFor(std::chrono::seconds(4));
    const TargetId former = group.record()->primary;
    const std::uint64_t term = group.record()->term;
    std::size_t replica = 0;
    while (group.targets[replica].id == former)
        ++replica;
    group.targets[replica].source = -1;
    group.world.runFor(milliseconds(100));
    std::vector<PlannedChangeResult> results;
    group.controls.toOperator = [&](FakeControls::Instance &, ConnectionId,
                                    const OperatorReply &reply) {
        results.push_back(std::get<PlannedChangeResult>(reply));
    };
    const PlannedChange request{"p1", group.group, group.targets[replica].id};
    ControlNode &leader = *group.controls.leader()->node;
    leader.receiveFromOperator(1, request, group.world.now());
    group.world.runFor(milliseconds(500));
    cr_assert(results.size() == 1 && results[0].accepted);
    cr_assert(group.proxies[0].view.writesHeld);
    group.world.runFor(std::chrono::seconds(3));
    cr_assert(group.isSteady() && group.record()->primary == former);
    cr_assert(group.record()->term == term && !group.proxies[0].view.writesHeld);
    leader.receiveFromOperator(1, request, group.world.now());
    cr_assert(results.size() == 2 && results[1].accepted, "a resend gets the first answer");
    leader.receiveFromOperator(1, PlannedChange{"p2", GroupId("x"), {}}, group.world.now());
    cr_assert(results.back().reason == Reason::UnknownGroup);
}

Test(control_node, second_loss_during_promotion,
     .description = "the chosen target is lost as well: the group waits for a majority and goes on")
{
    FakeGroup group(7);
    group.world.runFor(std::chrono::seconds(4));
    const int primary = group.indexOf(group.record()->primary);
    group.stopTarget(primary);
    while (group.record()->phase != GroupPhase::Promoting)
        group.world.runFor(milliseconds(1));
    const int chosen = group.indexOf(group.record()->chosen);
    group.stopTarget(chosen);
    // The control leader is lost in the middle as well.
    group.controls.replaceLeader();
    group.world.runFor(std::chrono::seconds(3));
    cr_assert(!group.isSteady());
    const std::uint64_t confirmed = group.confirmed.size();
    // The chosen target never returns; the former primary does.
    group.world.start(group.targets[primary].id.value);
    group.world.runFor(std::chrono::seconds(4));
    cr_assert(group.isSteady());
    cr_assert(group.confirmed.size() > confirmed);
    group.checkHoldsConfirmed(group.targets[group.indexOf(group.record()->primary)]);
}

Test(control_node, actions_tell_their_cause,
     .description = "status shows why a primary was replaced")
{
    FakeGroup group(8);
    group.world.runFor(std::chrono::seconds(4));
    group.stopTarget(group.indexOf(group.record()->primary));
    group.world.runFor(std::chrono::seconds(2));
    StatusReport report;
    group.controls.toOperator = [&](FakeControls::Instance &, ConnectionId,
                                    const OperatorReply &reply) {
        report = std::get<StatusReport>(reply);
    };
    group.controls.leader()->node->receiveFromOperator(1, StatusQuery{}, group.world.now());
    const bool isExplained = std::any_of(
        report.recentActions.begin(), report.recentActions.end(), [](const ActionRecord &action) {
            return action.action == "term_begun"
                   && action.cause.find("=broken") != std::string::npos;
        });
    cr_assert(isExplained);
    cr_assert(report.groups.size() == 1 && report.proxies.size() == 2);
}
