// Test fixture: a FleetController in virtual time with a quorum log that commits at once, scripted
// poolers and scripted targets.
#pragma once

#include "fakes/model_group.hpp"
#include "rhubarbweir/coordination/fleet/fleet_controller.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbweir::fakes {

using std::chrono::milliseconds;

class FleetFixture
{
public:
    static inline const GroupId Group{"g"};

    explicit FleetFixture(const std::string &instance = "c1")
        : controller(makeSettings(instance), this->makeHooks())
    {
        this->isLeader = instance == "c1";
        this->controller.leadershipChanged(this->now);
        this->isLeader = true;
    }

    // Continues from the state of `other` as another instance that has become the leader.
    void takeOver(const FleetFixture &other)
    {
        this->now = other.now;
        this->lastIndex = other.lastIndex;
        this->unreachable = other.unreachable;
        this->actualPrimary = other.actualPrimary;
        this->term = other.term;
        this->positions = other.positions;
        this->controller.restored(other.controller.state().snapshot(), this->now);
        this->controller.leadershipChanged(this->now);
    }

    // Waits until no lease of a former leader can be valid.
    void waitForGracePeriod() { this->advance(milliseconds(4500)); }

    static RegisteredTarget target(const std::string &name, bool primary, std::uint64_t sequence,
                                   TargetPhase phase = TargetPhase::Ready, std::int64_t born = 1)
    {
        RegisteredTarget announced;
        announced.target = TargetId(name);
        announced.group = Group;
        announced.address = name + ":1";
        announced.phase = phase;
        announced.sequence = sequence;
        announced.born = born;
        announced.reportsPrimary = primary;
        return announced;
    }

    FleetCallOutcome announce(const RegisteredTarget &announced)
    {
        std::optional<FleetCallOutcome> result;
        this->controller.targetAnnounced(
            announced, [&result](FleetCallOutcome outcome) { result = outcome; }, this->now);
        this->commit();
        return result.value_or(FleetCallOutcome::Unavailable);
    }

    FleetCallOutcome leave(const std::string &name, const std::optional<std::int64_t> &born = {})
    {
        std::optional<FleetCallOutcome> result;
        this->controller.targetLeft(
            TargetId(name), born, [&result](FleetCallOutcome outcome) { result = outcome; },
            this->now);
        this->commit();
        return result.value_or(FleetCallOutcome::Unavailable);
    }

    FleetCallOutcome configure(std::uint64_t version, const std::string &document)
    {
        std::optional<FleetCallOutcome> result;
        this->controller.configurationSent(
            version, OpaqueBytes(document),
            [&result](FleetCallOutcome outcome) { result = outcome; }, this->now);
        this->commit();
        return result.value_or(FleetCallOutcome::Unavailable);
    }

    // Registers three targets. The first is the primary and gets the authority.
    void startGroup()
    {
        for (const std::string name : {"t1", "t2", "t3"})
            this->announce(target(name, name == "t1", ++this->sequence));
        this->advance(milliseconds(200));
    }

    // Every reachable target announces itself again.
    void announceAll()
    {
        ++this->sequence;
        for (const std::string name : {"t1", "t2", "t3"}) {
            if (this->unreachable.count(TargetId(name)) == 0)
                this->announce(target(name, TargetId(name) == this->actualPrimary, this->sequence));
        }
    }

    // Without `confirms` as a delayed message, whose sender has ended.
    void renew(const std::string &pooler, std::uint64_t revision,
               const std::vector<std::string> &complaints = {}, std::uint64_t incarnation = 1,
               bool isOverloaded = false, bool confirms = true)
    {
        RenewLease message;
        message.proxy = InstanceId(pooler);
        message.incarnation = incarnation;
        message.sequence = ++this->sequence;
        message.revision = revision;
        for (const std::string &name : complaints)
            message.observations.push_back({TargetId(name), Group, ObservedState::Broken});
        if (isOverloaded)
            message.overloadedGroups.push_back(Group);
        const std::size_t before = this->sent.size();
        this->controller.receiveFromPooler(this->connectionOf(pooler), message, this->now);
        const auto *question = this->sent.size() > before
                                   ? std::get_if<FleetLease>(&this->sent.back().second)
                                   : nullptr;
        const bool asksToConfirm = question != nullptr && question->sequence == message.sequence
                                   && question->leaseFor == Duration::zero();
        if (confirms && asksToConfirm) {
            message.answered = message.sequence;
            message.sequence = ++this->sequence;
            this->controller.receiveFromPooler(this->connectionOf(pooler), message, this->now);
        }
        this->commit();
    }

    // Two poolers renew with the newest view.
    void renewBoth(const std::vector<std::string> &complaints = {})
    {
        this->renew("p1", this->revision(), complaints);
        this->renew("p2", this->revision(), complaints);
    }

    // The newest lease sent to the pooler, or its newest view; null if none was sent.
    const FleetLease *lastLease(const std::string &pooler)
    {
        for (auto entry = this->sent.rbegin(); entry != this->sent.rend(); ++entry) {
            const auto *lease = std::get_if<FleetLease>(&entry->second);
            // An answer without a lease only asks its receiver to confirm that it runs.
            const bool isQuestion = lease != nullptr && lease->leaseFor == Duration::zero();
            if (entry->first == this->connectionOf(pooler) && lease != nullptr && !isQuestion)
                return lease;
        }
        return nullptr;
    }

    ConnectionId connectionOf(const std::string &pooler)
    {
        return this->connections.emplace(pooler, this->connections.size() + 1).first->second;
    }

    void advance(Duration time)
    {
        const TimePoint end = this->now + time;
        while (this->now < end) {
            this->now += milliseconds(10);
            this->controller.advance(this->now);
            this->commit();
            this->answerProbes();
        }
    }

    // Loses and regains the leadership, which discards the state that is not replicated.
    void changeLeader()
    {
        this->isLeader = false;
        this->controller.leadershipChanged(this->now);
        this->isLeader = true;
        this->controller.leadershipChanged(this->now);
    }

    void commit()
    {
        while (!this->withholdsCommits && !this->log.empty()) {
            const auto [index, command] = this->log.front();
            this->log.pop_front();
            this->controller.applied(index, command, this->now);
        }
    }

    void answerProbes()
    {
        while (!this->probes.empty()) {
            const RegisteredTarget asked = this->probes.front();
            this->probes.pop_front();
            this->controller.probed(asked, this->answerOf(asked.target), this->now);
            this->commit();
        }
    }

    // Empty if the target does not answer.
    std::optional<TargetProbe> answerOf(const TargetId &target)
    {
        if (this->unreachable.count(target) != 0)
            return std::nullopt;
        if (this->group != nullptr)
            return this->group->statusOf(target);
        const auto own = this->ownAnswers.find(target);
        if (own != this->ownAnswers.end())
            return own->second;
        return TargetProbe{target == this->actualPrimary, this->term, this->positions[target]};
    }

    // Answers the newest promotion as the platform. An accepted one takes effect.
    void answerPromotion(PromotionOutcome outcome)
    {
        const PromotionRequest request = this->promotions.back();
        if (outcome == PromotionOutcome::Accepted) {
            // A promotion has no effect on a target that takes itself for the primary.
            const auto own = this->ownAnswers.find(request.target);
            if (own == this->ownAnswers.end() || !own->second.isPrimary) {
                this->actualPrimary = request.target;
                ++this->term;
                this->ownAnswers.erase(request.target);
            }
        }
        this->controller.promotionAnswered(request, outcome, this->now);
        this->commit();
    }

    const PrimaryAuthority &authority() const { return *this->controller.state().authority(Group); }
    std::uint64_t revision() const { return this->controller.state().viewRevision(); }

    TimePoint now = TimePoint(std::chrono::seconds(1000));
    bool isLeader = false;
    bool hasLease = true;
    // Proposals stay uncommitted.
    bool withholdsCommits = false;
    // In force once a configuration is sent.
    std::map<TeamId, TeamLimit> teamLimits;
    std::size_t limitsDecoded = 0;
    std::uint32_t syncReplicas = 0;
    // Groups that the configuration names besides `Group`.
    std::map<GroupId, std::uint32_t> otherGroups;
    std::uint64_t sequence = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t term = 1;
    TargetId actualPrimary{"t1"};
    std::set<TargetId> unreachable;
    std::map<TargetId, LogPosition> positions;
    // Probe answers of targets whose term or role differs from that of the group.
    std::map<TargetId, TargetProbe> ownAnswers;
    std::vector<std::pair<TargetId, std::uint64_t>> stepDowns;
    // Answers probes in place of the members above; null if the test scripts them.
    ModelGroup *group = nullptr;
    std::map<std::string, ConnectionId> connections;
    std::deque<std::pair<std::uint64_t, FleetCommand>> log;
    std::deque<RegisteredTarget> probes;
    std::vector<PromotionRequest> promotions;
    std::vector<std::string> controls{"leader:1"};
    std::vector<std::string> calledObservers;
    std::vector<std::pair<ConnectionId, FleetReply>> sent;
    // Views of at least 16 entries that were packed.
    std::size_t packedViews = 0;
    std::set<ConnectionId> backlogged;
    FleetController controller;

private:
    static FleetSettings makeSettings(const std::string &instance)
    {
        FleetSettings settings;
        settings.lease.instance = InstanceId(instance);
        settings.lease.leaseFor = milliseconds(4000);
        settings.teamLimits = TeamLimitRules{milliseconds(5000), 0.1, 20, milliseconds(3000)};
        return settings;
    }

    FleetHooks makeHooks()
    {
        FleetHooks hooks;
        hooks.propose = [this](const FleetCommand &command) -> absl::StatusOr<std::uint64_t> {
            if (!this->isLeader)
                return absl::FailedPreconditionError("not the leader");
            this->log.emplace_back(++this->lastIndex, command);
            return this->lastIndex;
        };
        hooks.isLeader = [this] {
            return this->isLeader;
        };
        hooks.leaseValid = [this](TimePoint) {
            return this->isLeader && this->hasLease;
        };
        hooks.leaderAddress = [] {
            return std::string("leader:1");
        };
        hooks.controlAddresses = [this] {
            return this->controls;
        };
        hooks.sendToPooler = [this](ConnectionId connection, const FleetReply &reply) {
            this->sent.emplace_back(connection, reply);
        };
        hooks.compress = [](const OpaqueBytes &document) {
            return document;
        };
        hooks.documentDelta = [](const OpaqueBytes &base, const OpaqueBytes &document) {
            return OpaqueBytes(base.bytes + ">" + document.bytes);
        };
        hooks.packView = [this](const FleetView &view) {
            ++this->packedViews;
            return OpaqueBytes(std::to_string(view.targets.size()));
        };
        hooks.isBacklogged = [this](ConnectionId connection) {
            return this->backlogged.count(connection) != 0;
        };
        hooks.groups = [this](const OpaqueBytes &) {
            std::map<GroupId, std::uint32_t> groups = this->otherGroups;
            groups[Group] = this->syncReplicas;
            return groups;
        };
        hooks.teamLimits = [this](const OpaqueBytes &) {
            ++this->limitsDecoded;
            return this->teamLimits;
        };
        hooks.callObserver = [this](const std::string &address) {
            this->calledObservers.push_back(address);
        };
        hooks.probe = [this](const RegisteredTarget &asked) {
            this->probes.push_back(asked);
        };
        hooks.promote = [this](const PromotionRequest &request) {
            this->promotions.push_back(request);
        };
        hooks.stepDown = [this](const RegisteredTarget &target, std::uint64_t stepDownTerm) {
            this->stepDowns.emplace_back(target.target, stepDownTerm);
            if (this->group != nullptr)
                this->group->stepDown(target.target, stepDownTerm);
            const auto own = this->ownAnswers.find(target.target);
            if (own != this->ownAnswers.end() && own->second.term < stepDownTerm)
                own->second.isPrimary = false;
        };
        hooks.event = [](std::string_view, const FleetEventFields &) {
        };
        return hooks;
    }
};

} // namespace rhubarbweir::fakes
