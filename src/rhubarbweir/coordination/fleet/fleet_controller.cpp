// See fleet_controller.hpp.
#include "rhubarbweir/coordination/fleet/fleet_controller.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// Interval at which the leader checks its groups. About a tenth of a heartbeat interval.
constexpr std::chrono::milliseconds SupervisionInterval{100};
// The same while a primary change runs.
constexpr std::chrono::milliseconds ChangeInterval{10};
// With more targets, all control instances take announcements. 100 targets make 80 calls a second
// and as many redirections, a tenth of what a leader with a third of a core handles.
constexpr std::size_t MaxDirectTargets = 100;
// Interval of probes of one target outside of changes.
constexpr std::chrono::milliseconds TargetProbeInterval{300};

// Whether the announcements are of the same state, and differ at most in their sequence.
bool isRepetition(const RegisteredTarget &target, RegisteredTarget stored)
{
    stored.sequence = target.sequence;
    return target == stored;
}

FleetEventFields fieldsOf(const PrimaryEvidence &evidence)
{
    return {{"poolers", absl::StrCat(evidence.poolers)},
            {"complaints", absl::StrCat(evidence.complaints)},
            {"failed_probes", absl::StrCat(evidence.failedProbes)},
            {"overdue", evidence.heartbeatOverdue ? "yes" : "no"}};
}

// Whether poolers are told about the command's effect.
bool isForPoolers(const FleetCommand &command)
{
    return !std::holds_alternative<ChooseCandidate>(command)
           && !std::holds_alternative<RegisterPooler>(command)
           && !std::holds_alternative<ForgetPooler>(command)
           && !std::holds_alternative<RegisterObserver>(command)
           && !std::holds_alternative<ForgetObserver>(command);
}

// Whether poolers are told at once: callers wait for a change of primary or for a new route.
bool isUrgent(const FleetCommand &command)
{
    return !std::holds_alternative<RecordTarget>(command);
}

} // namespace

FleetController::FleetController(FleetSettings fleetSettings, FleetHooks fleetHooks)
    : settings(std::move(fleetSettings))
    , hooks(std::move(fleetHooks))
    , leases(this->settings.lease)
    , registry(this->settings, this->fleet, this->leases, this->registryPorts())
    , positions(this->fleet)
    , views(this->settings, this->fleet, this->leases, this->registry, this->positions,
            this->viewPorts())
    , observers(this->fleet, this->observerPorts())
    , detector(this->settings)
    , departed(this->settings, this->fleet)
{
    if (this->settings.teamLimits)
        this->budgets.emplace(*this->settings.teamLimits,
                              [this](const TeamId &, const FleetEventFields &fields) {
                                  this->hooks.event("team_exhausted", fields);
                              });
}

bool FleetController::canDecide(TimePoint now) const
{
    return this->leads && this->hooks.isLeader() && this->hooks.leaseValid(now);
}

void FleetController::leadershipChanged(TimePoint now)
{
    const bool isLeader = this->hooks.isLeader();
    if (isLeader == this->leads)
        return;
    this->leads = isLeader;
    this->changes.clear();
    this->proposedUntil.clear();
    this->changeCauses.clear();
    this->overloadedSince.clear();
    this->drainingSince.clear();
    this->keptAt.clear();
    this->relievedAt.clear();
    this->replicaRoleSince.clear();
    this->lastAnnouncements.clear();
    this->proposedTargets.clear();
    this->registrations.clear();
    this->answerRegistrationsAt = TimePoint::max();
    this->views.beginLeadership(now);
    this->positions.clear();
    this->questions.clear();
    if (this->budgets)
        this->budgets->beginLeadership();
    this->limitsVersion = 0;
    if (isLeader) {
        this->leases.beginLeadership(now);
        this->registry.beginLeadership(now);
        this->observers.beginLeadership(now);
        this->delayPromotions(now);
        this->detector.reset(now);
        this->departed.beginLeadership(now);
        this->evictAt = now;
        this->wakeAt = now;
    } else {
        this->failAllCalls();
    }
}

// A former leader may have requested promotions until just now.
void FleetController::delayPromotions(TimePoint now)
{
    for (const auto &[group, authority] : this->fleet.authorities()) {
        if (!authority.chooser.empty() && authority.chooser != this->settings.lease.instance)
            this->promoteFrom = now + this->settings.promotionTurn;
    }
}

// Applied commands.

void FleetController::applied(std::uint64_t index, const FleetCommand &command, TimePoint now)
{
    const std::uint64_t version = this->fleet.configuration().version;
    const auto *recorded = std::get_if<RecordTarget>(&command);
    const RegisteredTarget *known =
        recorded == nullptr ? nullptr : this->fleet.find(recorded->target.target);
    const auto before = known == nullptr ? std::nullopt : std::make_optional(*known);
    const bool changed = this->fleet.apply(index, command);
    if (const auto *granted = std::get_if<GrantAuthority>(&command)) {
        this->proposedUntil.erase(granted->group);
        if (changed) {
            this->recordKeptPrimary(*granted, now);
            this->changes.erase(granted->group);
            this->changeCauses.erase(granted->group);
            this->detector.clearEvidence(granted->primary, now);
            this->hooks.event("authority_granted", {{"group", granted->group.value},
                                                    {"target", granted->primary.value},
                                                    {"term", absl::StrCat(granted->term)},
                                                    {"index", absl::StrCat(index)}});
        }
    }
    if (const auto *revoked = std::get_if<RevokeAuthority>(&command)) {
        this->proposedUntil.erase(revoked->group);
        if (changed)
            this->hooks.event("authority_revoked",
                              {{"group", revoked->group.value}, {"index", absl::StrCat(index)}});
    }
    const auto *chosen = std::get_if<ChooseCandidate>(&command);
    if (changed && chosen != nullptr && chosen->chooser != this->settings.lease.instance)
        this->promoteFrom = now + this->settings.promotionTurn;
    if (recorded != nullptr) {
        if (changed && this->leads)
            this->departed.recorded(before, recorded->target, now);
        const auto proposed = this->proposedTargets.find(recorded->target.target);
        if (proposed != this->proposedTargets.end() && proposed->second.index <= index)
            this->proposedTargets.erase(proposed);
    }
    if (const auto *registered = std::get_if<RegisterPooler>(&command))
        this->poolerRegistered({registered->pooler, registered->incarnation}, now);
    if (const auto *forgotten = std::get_if<ForgetPooler>(&command))
        this->registry.removed({forgotten->pooler, forgotten->incarnation});
    this->countPoolers(now);
    if (this->fleet.configuration().version != version)
        this->hooks.event("configuration_stored",
                          {{"version", absl::StrCat(this->fleet.configuration().version)},
                           {"index", absl::StrCat(index)}});
    if (this->leads) {
        if (changed && isForPoolers(command))
            this->views.viewChanged(isUrgent(command), now);
        this->requestSupervision(now);
    }
    // A former leader applies commands of its successor before it is told of the change, and one of
    // them may be at the index of a call that waits here.
    const bool isOwn = this->leads && this->hooks.isLeader();
    this->finishCalls(index, isOwn ? FleetCallOutcome::Accepted : FleetCallOutcome::Unavailable);
}

// A leaving primary that is granted the authority again serves on for a while.
void FleetController::recordKeptPrimary(const GrantAuthority &granted, TimePoint now)
{
    const RegisteredTarget *primary = this->fleet.find(granted.primary);
    const auto cause = this->changeCauses.find(granted.group);
    if (primary != nullptr && primary->phase == TargetPhase::Draining
        && cause != this->changeCauses.end() && cause->second == ChangeCause::PrimaryLeaves)
        this->keptAt[granted.primary] = now;
}

void FleetController::restored(const FleetState::Snapshot &snapshot, TimePoint now)
{
    this->fleet.restore(snapshot);
    this->countPoolers(now);
    this->wakeAt = now;
}

// Calls that wait for a commit.

std::optional<std::uint64_t> FleetController::propose(const FleetCommand &command,
                                                      FleetCallDone done, TimePoint now)
{
    const auto index = this->hooks.propose(command);
    if (!index.ok()) {
        this->hooks.event("proposal_refused", {{"cause", index.status().ToString()}});
        // The log refuses only a payload that is too large with this code.
        const bool isTooLarge = absl::IsInvalidArgument(index.status());
        if (done)
            done(isTooLarge ? FleetCallOutcome::TooLarge : FleetCallOutcome::Unavailable);
        return std::nullopt;
    }
    if (done)
        this->waitForCommit(*index, std::move(done), now);
    return *index;
}

void FleetController::waitForCommit(std::uint64_t index, FleetCallDone done, TimePoint now)
{
    this->calls[index].push_back({std::move(done), now + this->settings.lease.editTimeout});
}

void FleetController::finishCalls(std::uint64_t index, FleetCallOutcome outcome)
{
    const auto found = this->calls.find(index);
    if (found == this->calls.end())
        return;
    const std::vector<PendingCall> finished = std::move(found->second);
    this->calls.erase(found);
    for (const PendingCall &call : finished)
        call.done(outcome);
}

void FleetController::failAllCalls()
{
    while (!this->calls.empty())
        this->finishCalls(this->calls.begin()->first, FleetCallOutcome::Unavailable);
}

void FleetController::expireCalls(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[index, waiting] : this->calls) {
        if (!waiting.empty() && now >= waiting.front().deadline)
            expired.push_back(index);
    }
    for (const std::uint64_t index : expired)
        this->finishCalls(index, FleetCallOutcome::Unavailable);
}

// Operators and targets.

void FleetController::configurationSent(std::uint64_t version, OpaqueBytes document,
                                        FleetCallDone done, TimePoint now)
{
    if (!this->canDecide(now)) {
        done(FleetCallOutcome::NotLeader);
        return;
    }
    if (version <= this->fleet.configuration().version) {
        done(FleetCallOutcome::Accepted);
        return;
    }
    this->propose(StoreConfiguration{version, std::move(document)}, std::move(done), now);
}

std::optional<ConfigurationDocument> FleetController::configuration(TimePoint now) const
{
    if (!this->canDecide(now) || this->fleet.configuration().version == 0)
        return std::nullopt;
    return this->fleet.configuration();
}

void FleetController::targetAnnounced(const RegisteredTarget &target, FleetCallDone done,
                                      TimePoint now)
{
    if (!this->canDecide(now)) {
        done(FleetCallOutcome::NotLeader);
        return;
    }
    if (!this->mayRegister(target)) {
        this->ignoreAnnouncement(target, "unknown_group", done);
        return;
    }
    const std::vector<RegisteredTarget> displaced = this->displacedBy(target);
    const RegisteredTarget *stored = this->fleet.find(target.target);
    const bool isDisplaced =
        stored != nullptr
        && std::find(displaced.begin(), displaced.end(), *stored) != displaced.end();
    if (isDisplaced) {
        this->lastAnnouncements.erase(target.target);
        stored = nullptr;
    }
    if (stored != nullptr && stored->born == target.born && stored->group != target.group) {
        this->ignoreAnnouncement(target, "other_group", done);
        return;
    }
    const auto known = this->lastAnnouncements.find(target.target);
    // The entry of the last announcement may not be committed, or was refused by the log.
    const bool isPending = known != this->lastAnnouncements.end()
                           && this->fleet.accepts({known->second, displaced})
                           && !(stored != nullptr && isRepetition(known->second, *stored));
    if (known != this->lastAnnouncements.end() && !isNewer(target, known->second)) {
        if (isPending)
            this->recordTarget({known->second, displaced}, std::move(done), now);
        else
            done(FleetCallOutcome::Accepted);
        return;
    }
    if ((stored == nullptr || isNewer(target, *stored))
        && !this->fleet.accepts({target, displaced})) {
        this->ignoreAnnouncement(target, "superseded", done);
        return;
    }
    this->lastAnnouncements[target.target] = target;
    this->detector.recordHeartbeat(target.target, now);
    this->deposeFormerPrimary(target);
    if (!isPending && stored != nullptr && isRepetition(target, *stored)) {
        done(FleetCallOutcome::Accepted);
        return;
    }
    this->recordTarget({target, displaced}, std::move(done), now);
}

const std::map<GroupId, std::uint32_t> &FleetController::namedGroups()
{
    const ConfigurationDocument &configuration = this->fleet.configuration();
    if (configuration.version == this->groupsVersion)
        return this->groups;
    this->groupsVersion = configuration.version;
    const auto known = std::exchange(this->groups, this->hooks.groups(configuration.document));
    for (const auto &[group, syncReplicas] : this->groups) {
        const auto earlier = known.find(group);
        if (earlier != known.end() && earlier->second < syncReplicas)
            this->departed.confirmationRaised(group, this->advanceTime);
    }
    return this->groups;
}

// Before the first configuration every group may turn out to be named.
bool FleetController::isNamed(const GroupId &group)
{
    return this->fleet.configuration().version == 0 || this->namedGroups().count(group) != 0;
}

// A target of a group that the configuration does not name is not registered, as a registration
// takes the place of others at the same address. One that was registered before its group was
// dropped keeps its place, so that it can still leave or serve again.
bool FleetController::mayRegister(const RegisteredTarget &target)
{
    const RegisteredTarget *stored = this->fleet.find(target.target);
    return this->isNamed(target.group)
           || (stored != nullptr && stored->group == target.group
               && stored->address == target.address);
}

// Registrations in groups that the configuration does not name, at the address or under the name of
// a target whose group it names. They were made before the first configuration, before their group
// was dropped, or by earlier versions, which did not compare groups.
std::vector<RegisteredTarget> FleetController::displacedBy(const RegisteredTarget &target)
{
    std::vector<RegisteredTarget> displaced;
    const RegisteredTarget *stored = this->fleet.find(target.target);
    // Nothing else is registered at the address of a target that keeps it.
    const bool keepsPlace = stored != nullptr && stored->born == target.born
                            && stored->address == target.address && this->isNamed(stored->group);
    if (keepsPlace || !this->isNamed(target.group))
        return displaced;
    for (const auto &[id, other] : this->fleet.targets()) {
        if ((id == target.target || other.address == target.address) && !this->isNamed(other.group))
            displaced.push_back(other);
    }
    return displaced;
}

void FleetController::ignoreAnnouncement(const RegisteredTarget &target, const std::string &cause,
                                         const FleetCallDone &done)
{
    this->hooks.event("announcement_ignored", {{"target", target.target.value},
                                               {"group", target.group.value},
                                               {"address", target.address},
                                               {"born", absl::StrCat(target.born)},
                                               {"sequence", absl::StrCat(target.sequence)},
                                               {"cause", cause}});
    done(FleetCallOutcome::Ignored);
}

// Proposes the state of the target, or waits for the entry that was proposed last if it has the
// same state. Targets repeat announcements that are not answered in time; a proposal for each would
// delay the commits further.
void FleetController::recordTarget(const RecordTarget &report, FleetCallDone done, TimePoint now)
{
    const RegisteredTarget &target = report.target;
    const auto known = this->proposedTargets.find(target.target);
    if (known != this->proposedTargets.end() && isRepetition(target, known->second.target)) {
        this->waitForCommit(known->second.index, std::move(done), now);
        return;
    }
    this->hooks.event("target_recorded", {{"target", target.target.value},
                                          {"group", target.group.value},
                                          {"phase", std::string(nameOf(target.phase))},
                                          {"primary", target.reportsPrimary ? "yes" : "no"},
                                          {"sequence", absl::StrCat(target.sequence)},
                                          {"displaced", absl::StrCat(report.displaced.size())}});
    this->proposedTargets.erase(target.target);
    if (const auto index = this->propose(report, std::move(done), now))
        this->proposedTargets[target.target] = {target, *index};
}

bool FleetController::relaysAnnouncements() const
{
    return this->fleet.targets().size() > MaxDirectTargets;
}

std::string FleetController::announceAddress(const TargetId &target) const
{
    if (!this->relaysAnnouncements())
        return {};
    std::vector<std::string> relays = this->hooks.controlAddresses();
    const std::string self = this->hooks.leaderAddress();
    relays.erase(std::remove(relays.begin(), relays.end(), self), relays.end());
    const auto &observerAddresses = this->fleet.observers();
    relays.insert(relays.end(), observerAddresses.begin(), observerAddresses.end());
    if (relays.empty())
        return {};
    return relays[std::hash<std::string>{}(target.value) % relays.size()];
}

void FleetController::announcementsRelayed(ConnectionId connection, const AnnouncementBatch &batch,
                                           TimePoint now)
{
    AnnouncementAnswers answers;
    answers.number = batch.number;
    if (!this->canDecide(now)) {
        for (const RegisteredTarget &target : batch.announcements)
            answers.answers.push_back({target.target, target.born, target.sequence, false, false});
        for (const TargetHeartbeat &heartbeat : batch.heartbeats)
            answers.unknown.push_back(heartbeat.target);
        this->hooks.sendToPooler(connection, answers);
        return;
    }
    for (const TargetHeartbeat &heartbeat : batch.heartbeats) {
        const auto known = this->lastAnnouncements.find(heartbeat.target);
        const bool isKnown = known != this->lastAnnouncements.end()
                             && known->second.born == heartbeat.born
                             && known->second.sequence >= heartbeat.since;
        if (!isKnown) {
            answers.unknown.push_back(heartbeat.target);
            continue;
        }
        if (heartbeat.sequence <= known->second.sequence)
            continue;
        RegisteredTarget repeated = known->second;
        repeated.sequence = heartbeat.sequence;
        this->targetAnnounced(
            repeated, [](FleetCallOutcome) {}, now);
    }
    this->hooks.sendToPooler(connection, answers);
    for (const RegisteredTarget &target : batch.announcements) {
        const auto done = [this, connection, id = target.target, born = target.born,
                           sequence = target.sequence](FleetCallOutcome outcome) {
            this->announcementAnswers[connection].answers.push_back(
                {id, born, sequence,
                 outcome == FleetCallOutcome::Accepted || outcome == FleetCallOutcome::Ignored,
                 outcome == FleetCallOutcome::Accepted});
        };
        this->targetAnnounced(target, done, now);
    }
}

void FleetController::sendAnnouncementAnswers()
{
    for (const auto &[connection, answers] : std::exchange(this->announcementAnswers, {}))
        this->hooks.sendToPooler(connection, answers);
}

// A former primary that could not be reached while its group moved on learns that when it announces
// itself again.
void FleetController::deposeFormerPrimary(const RegisteredTarget &target)
{
    const PrimaryAuthority *authority = this->fleet.authority(target.group);
    if (!target.reportsPrimary || authority == nullptr || authority->term == 0
        || authority->primary.empty() || authority->primary == target.target)
        return;
    this->hooks.event("former_primary_returned", {{"group", target.group.value},
                                                  {"target", target.target.value},
                                                  {"primary", authority->primary.value},
                                                  {"term", absl::StrCat(authority->term)}});
    this->hooks.stepDown(target, authority->term);
}

void FleetController::targetLeft(const TargetId &target, const std::optional<std::int64_t> &born,
                                 FleetCallDone done, TimePoint now)
{
    if (!this->canDecide(now)) {
        done(FleetCallOutcome::NotLeader);
        return;
    }
    const RegisteredTarget *stored = this->fleet.find(target);
    if (stored == nullptr || stored->phase == TargetPhase::Left) {
        this->departed.calledAgain(target, now);
        done(FleetCallOutcome::Accepted);
        return;
    }
    const auto known = this->lastAnnouncements.find(target);
    const bool isAnnounced = known != this->lastAnnouncements.end();
    // The call of a former start may arrive after the next one has announced itself.
    const std::int64_t newest =
        isAnnounced ? std::max(stored->born, known->second.born) : stored->born;
    if (born && *born < newest) {
        this->hooks.event("leave_ignored", {{"target", target.value},
                                            {"group", stored->group.value},
                                            {"born", absl::StrCat(*born)},
                                            {"registered_born", absl::StrCat(newest)}});
        done(FleetCallOutcome::Ignored);
        return;
    }
    RegisteredTarget left = *stored;
    left.phase = TargetPhase::Left;
    left.born = std::max(newest, born.value_or(newest));
    if (isAnnounced)
        left.sequence = std::max(left.sequence, known->second.sequence);
    ++left.sequence;
    this->hooks.event(
        "target_left",
        {{"target", target.value}, {"group", left.group.value}, {"born", absl::StrCat(left.born)}});
    // What is proposed for the target after this must be stored after it.
    this->proposedTargets.erase(target);
    this->propose(RecordTarget{left, {}}, std::move(done), now);
}

// Poolers.

void FleetController::receiveFromPooler(ConnectionId connection, const RenewLease &message,
                                        TimePoint now)
{
    if (!this->canDecide(now)) {
        this->hooks.sendToPooler(connection, FleetRedirect{this->hooks.leaderAddress()});
        return;
    }
    if (message.isObserver) {
        this->answerObserver(connection, message, now);
        return;
    }
    // Ignores late messages of an ended run, which must not retire the current one.
    const ProxyRun run{message.proxy, message.incarnation};
    const PoolerRun *registered = this->fleet.findPooler(run.proxy, run.incarnation);
    if (registered != nullptr && registered->hasEnded)
        return;
    if (registered == nullptr && !this->provesToRun(connection, message))
        return;
    ProxyLease *lease = this->leases.renew(connection, message, now);
    if (lease == nullptr)
        return;
    this->registry.recordRenewal(run);
    this->detector.recordReport(lease->run, message, now);
    this->views.recordReport(lease->run, message);
    const bool affectsDecisions =
        !message.observations.empty() || lease->revision < message.revision;
    if (affectsDecisions || !this->changes.empty())
        this->requestSupervision(now);
    if (registered == nullptr) {
        this->registry.add(run, message.sequence, now);
        return;
    }
    this->leases.grant(*lease, this->fleet.viewRevision(), now);
    this->views.answer(*lease, message.sequence, this->answerTokens(run, message.tokens, now), now);
}

// Whether the sender received an answer on this connection. A start that is not registered could
// otherwise be one that has ended and whose delayed message would end its successor.
bool FleetController::provesToRun(ConnectionId connection, const RenewLease &message)
{
    const ProxyRun run{message.proxy, message.incarnation};
    const auto known = this->questions.find(connection);
    if (known != this->questions.end() && known->second.run == run)
        return message.answered >= known->second.sequence;
    this->questions[connection] = {run, message.sequence};
    FleetLease withoutLease;
    withoutLease.sequence = message.sequence;
    this->hooks.sendToPooler(connection, withoutLease);
    return false;
}

void FleetController::answerObserver(ConnectionId connection, const RenewLease &message,
                                     TimePoint now)
{
    this->observers.heard(message.address, now);
    FleetLease answer;
    answer.sequence = message.sequence;
    answer.view.controls = this->hooks.controlAddresses();
    answer.relaysAnnouncements = this->relaysAnnouncements();
    this->hooks.sendToPooler(connection, answer);
}

// Answers the renewal that waited for the registration of its sender.
void FleetController::poolerRegistered(const ProxyRun &run, TimePoint now)
{
    const std::optional<std::uint64_t> sequence = this->registry.committed(run, now);
    if (!this->leads || !sequence)
        return;
    const auto lease = this->leases.all().find(run);
    const bool mayAnswer = lease != this->leases.all().end() && lease->second.connection != 0
                           && !lease->second.isRetired;
    this->hooks.event("pooler_registered", {{"pooler", run.proxy.value},
                                            {"incarnation", absl::StrCat(run.incarnation)},
                                            {"poolers", absl::StrCat(this->fleet.livePoolers())},
                                            {"lease", mayAnswer ? "granted" : "awaits_renewal"}});
    if (!mayAnswer)
        return;
    // Together with the others of a crowd, so that all get the same view.
    this->registrations[run] = *sequence;
    const TimePoint earliest =
        this->registrationsAnsweredAt + crowdInterval(this->fleet.livePoolers());
    this->answerRegistrationsAt = std::min(this->answerRegistrationsAt, std::max(now, earliest));
    this->answerRegistrations(now);
}

void FleetController::answerRegistrations(TimePoint now)
{
    if (now < this->answerRegistrationsAt)
        return;
    this->answerRegistrationsAt = TimePoint::max();
    this->registrationsAnsweredAt = now;
    const std::map<ProxyRun, std::uint64_t> due = std::exchange(this->registrations, {});
    // Without the leader's lease they are answered when they renew again.
    if (!this->canDecide(now))
        return;
    for (const auto &[run, sequence] : due) {
        const auto lease = this->leases.all().find(run);
        const bool mayAnswer = lease != this->leases.all().end() && lease->second.connection != 0
                               && !lease->second.isRetired;
        if (!mayAnswer)
            continue;
        this->leases.grant(lease->second, this->fleet.viewRevision(), now);
        this->views.answer(lease->second, sequence, std::nullopt, now);
    }
}

// Tokens of teams.

void FleetController::countPoolers(TimePoint now)
{
    if (this->budgets)
        this->budgets->setPoolers(this->fleet.livePoolers(), now);
}

// Applies the limits in force. The first call under a leadership also begins to grant: by then the
// lease of the former leader has ended and all its entries are applied.
void FleetController::prepareTokens(TimePoint now)
{
    if (!this->budgets->isStarted()) {
        std::vector<ProxyRun> registered;
        for (const auto &[key, run] : this->fleet.poolers()) {
            if (!run.hasEnded)
                registered.push_back({run.pooler, run.incarnation});
        }
        this->budgets->start(registered, now);
    }
    const ConfigurationDocument &configuration = this->fleet.configuration();
    if (configuration.version == this->limitsVersion)
        return;
    this->limitsVersion = configuration.version;
    this->budgets->setLimits(this->hooks.teamLimits(configuration.document), now);
}

std::optional<TokenAnswer> FleetController::answerTokens(const ProxyRun &run,
                                                         const std::optional<TokenReport> &report,
                                                         TimePoint now)
{
    if (!this->budgets || !report)
        return std::nullopt;
    this->prepareTokens(now);
    return this->budgets->answer(run, *report, now);
}

void FleetController::tokensRequested(ConnectionId connection, const TokenRequest &request,
                                      TimePoint now)
{
    if (!this->canDecide(now)) {
        this->hooks.sendToPooler(connection, FleetRedirect{this->hooks.leaderAddress()});
        return;
    }
    const ProxyRun run{request.proxy, request.incarnation};
    const PoolerRun *registered = this->fleet.findPooler(run.proxy, run.incarnation);
    const ProxyLease *lease = this->leases.find(run);
    const bool isKnown = registered != nullptr && !registered->hasEnded && lease != nullptr
                         && !lease->isRetired && lease->connection == connection;
    if (!isKnown)
        return;
    if (const auto answer = this->answerTokens(run, request.report, now))
        this->hooks.sendToPooler(connection, *answer);
}

std::map<TeamId, BudgetAllocator::TeamStatus> FleetController::teamStatus() const
{
    if (!this->budgets || !this->leads)
        return {};
    return this->budgets->status();
}

void FleetController::connectionClosed(ConnectionId connection)
{
    this->leases.connectionClosed(connection);
    this->positions.connectionClosed(connection);
    this->questions.erase(connection);
    this->announcementAnswers.erase(connection);
}

// Primaries.

void FleetController::advance(TimePoint now)
{
    this->views.advance(now);
    this->answerRegistrations(now);
    if (now < this->wakeAt)
        return;
    this->advanceTime = now;
    this->wakeAt = now + SupervisionInterval;
    this->expireCalls(now);
    if (!this->canDecide(now))
        return;
    if (now >= this->evictAt) {
        this->evictAt = now + SupervisionInterval;
        this->leases.evictExpired(now);
        this->registry.evictExpired(now);
        this->observers.advance(now);
    }
    if (this->budgets) {
        this->prepareTokens(now);
        this->budgets->advance(now);
    }
    this->grantFirstAuthorities(now);
    this->superviseGroups(now);
    if (!this->changes.empty())
        this->wakeAt = now + ChangeInterval;
}

void FleetController::requestSupervision(TimePoint now)
{
    const TimePoint earliest = this->advanceTime + crowdInterval(this->fleet.livePoolers());
    this->wakeAt = std::min(this->wakeAt, std::max(now, earliest));
}

void FleetController::grantFirstAuthorities(TimePoint now)
{
    for (const auto &[id, target] : this->fleet.targets()) {
        if (!target.reportsPrimary || target.phase != TargetPhase::Ready
            || this->fleet.authority(target.group) != nullptr || !this->isNamed(target.group))
            continue;
        TimePoint &until = this->proposedUntil[target.group];
        if (now < until)
            continue;
        until = now + this->settings.proposalTimeout;
        this->propose(GrantAuthority{target.group, 0, id, 0, {}}, {}, now);
    }
}

void FleetController::superviseGroups(TimePoint now)
{
    this->registry.beginSupervision();
    // Copied, because supervising a group may change the state synchronously.
    const std::map<GroupId, PrimaryAuthority> authorities = this->fleet.authorities();
    for (const auto &[group, authority] : authorities)
        this->superviseGroup(authority, now);
}

void FleetController::superviseGroup(const PrimaryAuthority &authority, TimePoint now)
{
    if (authority.primary.empty()) {
        auto change = this->changes.find(authority.group);
        if (change == this->changes.end()) {
            const auto known = this->changeCauses.find(authority.group);
            const ChangeCause cause =
                known == this->changeCauses.end() ? ChangeCause::PrimaryLeaves : known->second;
            change = this->changes
                         .emplace(std::piecewise_construct, std::forward_as_tuple(authority.group),
                                  std::forward_as_tuple(this->settings, authority.group, cause,
                                                        this->changePorts(authority.group), now))
                         .first;
        }
        change->second.advance(this->fleet, now);
        return;
    }
    const RegisteredTarget *primary = this->fleet.find(authority.primary);
    if (primary == nullptr || primary->phase == TargetPhase::Left) {
        this->revoke(authority, "primary_gone", ChangeCause::PrimaryLost, {}, now);
        return;
    }
    if (primary->phase == TargetPhase::Draining) {
        // A draining primary still serves. Revoking its authority while a pooler is silent would
        // leave the group without a primary until that pooler's lease ends.
        const TimePoint since = this->drainingSince.emplace(authority.primary, now).first->second;
        const auto kept = this->keptAt.find(authority.primary);
        if (kept != this->keptAt.end() && now < kept->second + this->settings.leaveRetryInterval)
            return;
        if (!this->registry.hasSilentPooler(now) || now >= since + this->settings.drainTimeout)
            this->revoke(authority, "primary_draining", ChangeCause::PrimaryLeaves, {}, now);
        return;
    }
    if (this->reportsReplicaRole(*primary, now)) {
        this->revoke(authority, "primary_denies_role", ChangeCause::PrimaryLeaves, {}, now);
        return;
    }
    const PrimaryEvidence evidence = this->detector.evaluate(authority.primary, this->leases, now);
    if (evidence.health == PrimaryHealth::Lost)
        this->revoke(authority, "primary_lost", ChangeCause::PrimaryLost, fieldsOf(evidence), now);
    else if (evidence.health == PrimaryHealth::Suspected
             || (this->departed.awaitsPosition(authority.group, now)
                 && this->syncReplicasOf(authority.group) > 0))
        this->probeTarget(*primary, now);
    else if (this->needsRelief(authority.group, now))
        this->revoke(authority, "primary_overloaded", ChangeCause::PrimaryOverloaded,
                     fieldsOf(evidence), now);
}

bool FleetController::needsRelief(const GroupId &group, TimePoint now)
{
    if (!this->detector.isOverloaded(group, this->leases, now)) {
        this->overloadedSince.erase(group);
        return false;
    }
    const TimePoint since = this->overloadedSince.emplace(group, now).first->second;
    const auto relieved = this->relievedAt.find(group);
    return now >= since + this->settings.overloadThreshold && !this->registry.hasSilentPooler(now)
           && (relieved == this->relievedAt.end()
               || now >= relieved->second + this->settings.reliefInterval);
}

bool FleetController::reportsReplicaRole(const RegisteredTarget &primary, TimePoint now)
{
    if (primary.reportsPrimary) {
        this->replicaRoleSince.erase(primary.target);
        return false;
    }
    const auto since = this->replicaRoleSince.emplace(primary.target, now).first;
    return now >= since->second + this->settings.roleMismatchThreshold;
}

void FleetController::probeTarget(const RegisteredTarget &target, TimePoint now)
{
    TimePoint &due = this->probeAt[target.target];
    if (now < due)
        return;
    due = now + TargetProbeInterval;
    this->hooks.probe(target);
}

void FleetController::revoke(const PrimaryAuthority &authority, const std::string &cause,
                             ChangeCause changeCause, const FleetEventFields &evidence,
                             TimePoint now)
{
    TimePoint &until = this->proposedUntil[authority.group];
    if (now < until)
        return;
    until = now + this->settings.proposalTimeout;
    this->changeCauses[authority.group] = changeCause;
    if (changeCause == ChangeCause::PrimaryOverloaded)
        this->relievedAt[authority.group] = now;
    this->replicaRoleSince.erase(authority.primary);
    FleetEventFields fields = {{"group", authority.group.value},
                               {"primary", authority.primary.value},
                               {"generation", absl::StrCat(authority.generation)},
                               {"cause", cause}};
    fields.insert(fields.end(), evidence.begin(), evidence.end());
    this->hooks.event("primary_change_begun", fields);
    this->propose(RevokeAuthority{authority.group, authority.generation}, {}, now);
}

PoolerRegistryPorts FleetController::registryPorts()
{
    PoolerRegistryPorts ports;
    ports.propose = [this](const FleetCommand &command, TimePoint now) {
        this->propose(command, {}, now);
    };
    ports.event = this->hooks.event;
    return ports;
}

ViewSenderPorts FleetController::viewPorts()
{
    ViewSenderPorts ports;
    ports.send = this->hooks.sendToPooler;
    ports.controlAddresses = this->hooks.controlAddresses;
    ports.compress = this->hooks.compress;
    ports.documentForPoolers = this->hooks.documentForPoolers;
    ports.documentDelta = this->hooks.documentDelta;
    ports.packView = this->hooks.packView;
    ports.isBacklogged = this->hooks.isBacklogged;
    return ports;
}

ObserverRegistryPorts FleetController::observerPorts()
{
    ObserverRegistryPorts ports;
    ports.propose = [this](const FleetCommand &command, TimePoint now) {
        this->propose(command, {}, now);
    };
    ports.call = this->hooks.callObserver;
    ports.otherSeeds = [this] {
        std::vector<std::string> others;
        if (!this->hooks.seedAddresses)
            return others;
        const std::vector<std::string> members = this->hooks.controlAddresses();
        for (const std::string &seed : this->hooks.seedAddresses()) {
            if (std::find(members.begin(), members.end(), seed) == members.end())
                others.push_back(seed);
        }
        return others;
    };
    return ports;
}

PrimaryChangePorts FleetController::changePorts(const GroupId &group)
{
    PrimaryChangePorts ports;
    ports.propose = [this](const FleetCommand &command) {
        this->propose(command, {}, this->advanceTime);
    };
    ports.probe = this->hooks.probe;
    ports.promote = [this](PromotionRequest request) {
        request.number = ++this->promotionsRequested;
        this->hooks.promote(request);
        return request.number;
    };
    ports.promoteFrom = [this] {
        return this->promoteFrom;
    };
    ports.stepDown = this->hooks.stepDown;
    ports.mayFormerBeUsed = [this, group](TimePoint now) {
        const PrimaryAuthority *authority = this->fleet.authority(group);
        return authority == nullptr || this->registry.mayUseOlderView(authority->revokedAt, now);
    };
    ports.reachability = [this](const TargetId &target) {
        return this->detector.reachability(target, this->advanceTime);
    };
    ports.syncReplicas = [this, group] {
        return this->syncReplicasOf(group);
    };
    ports.departedBeyond = [this, group](const LogPosition &best) {
        return this->departed.mayExceed(group, best, this->advanceTime);
    };
    ports.isLongSilent = [this](const TargetId &target) {
        return this->advanceTime
               >= this->detector.lastHeartbeat(target) + this->settings.lastResortTimeout;
    };
    ports.event = this->hooks.event;
    return ports;
}

std::uint32_t FleetController::syncReplicasOf(const GroupId &group)
{
    const auto &named = this->namedGroups();
    const auto found = named.find(group);
    return found == named.end() ? 0 : found->second;
}

void FleetController::probed(const RegisteredTarget &target,
                             const std::optional<TargetProbe> &result, TimePoint now)
{
    this->detector.recordProbe(target.target, result.has_value());
    const PrimaryAuthority *authority = this->fleet.authority(target.group);
    if (result && result->isPrimary && authority != nullptr && authority->primary == target.target
        && result->term >= authority->term)
        this->departed.positionKnown(target.group, result->received, now);
    const auto change = this->changes.find(target.group);
    if (change != this->changes.end())
        change->second.probed(target.target, result);
    this->requestSupervision(now);
}

void FleetController::promotionAnswered(const PromotionRequest &request, PromotionOutcome outcome,
                                        TimePoint now)
{
    const auto change = this->changes.find(request.group);
    if (change != this->changes.end())
        change->second.promotionAnswered(request, outcome, now);
    this->requestSupervision(now);
}

} // namespace rhubarbweir
