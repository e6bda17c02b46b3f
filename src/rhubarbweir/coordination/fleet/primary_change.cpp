// See primary_change.hpp.
#include "rhubarbweir/coordination/fleet/primary_change.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace rhubarbweir {

namespace {

Duration catchUpTimeout(const FleetSettings &settings, ChangeCause cause, bool isSynchronous)
{
    if (cause == ChangeCause::PrimaryLeaves && isSynchronous)
        return settings.reliefTimeout;
    switch (cause) {
    case ChangeCause::PrimaryLost:
        return settings.failoverCatchUpTimeout;
    case ChangeCause::PrimaryOverloaded:
        return settings.reliefTimeout;
    default:
        return settings.catchUpTimeout;
    }
}

std::string namesOf(const std::vector<TargetId> &targets)
{
    return absl::StrJoin(
        targets, ",", [](std::string *out, const TargetId &target) { out->append(target.value); });
}

} // namespace

PrimaryChange::PrimaryChange(const FleetSettings &fleetSettings, GroupId groupId,
                             ChangeCause changeCause, PrimaryChangePorts changePorts, TimePoint now)
    : settings(fleetSettings)
    , group(std::move(groupId))
    , cause(changeCause)
    , ports(std::move(changePorts))
    , catchUpDeadline(now
                      + catchUpTimeout(fleetSettings, changeCause, this->ports.syncReplicas() > 0))
{
}

void PrimaryChange::advance(const FleetState &state, TimePoint now)
{
    const PrimaryAuthority *authority = state.authority(this->group);
    if (authority == nullptr || !authority->primary.empty() || now < this->proposedUntil)
        return;
    if (!this->underWay) {
        this->underWay = authority->candidate;
        this->isInherited = !authority->candidate.empty();
    }
    if (this->step == Step::AwaitRevocation && !this->ports.mayFormerBeUsed(now)) {
        this->ports.event("former_primary_unused", {{"group", this->group.value}});
        this->enterSurvey(now);
    } else if (this->step == Step::AwaitRevocation && this->canCancel(*authority)
               && now >= this->catchUpDeadline) {
        this->cancel(*authority, now);
    }
    if (this->step == Step::Survey)
        this->survey(state, *authority, now);
    if (this->step == Step::Promote)
        this->promote(*authority, now);
    if (this->step == Step::AwaitPromotion)
        this->awaitPromotion(state, *authority, now);
}

void PrimaryChange::enterSurvey(TimePoint now)
{
    this->step = Step::Survey;
    this->answers.clear();
    this->responded.clear();
    this->awaited.clear();
    this->surveyDeadline = now + this->settings.surveyTimeout;
    this->probeAt = now;
    if (!this->newestTermDeadline) {
        this->newestTermDeadline = now + this->settings.newestTermTimeout;
        this->lastResortDeadline = now + this->settings.lastResortTimeout;
    }
}

std::uint64_t PrimaryChange::newestTerm(const PrimaryAuthority &authority) const
{
    // A group whose targets have all lost their data begins with its first term again.
    std::uint64_t newest = this->isLastResort ? 0 : authority.term;
    for (const auto &[id, probe] : this->answers)
        newest = std::max(newest, probe.term);
    return newest;
}

bool PrimaryChange::isStalePrimary(const TargetProbe &probe,
                                   const PrimaryAuthority &authority) const
{
    return probe.isPrimary && probe.term < this->newestTerm(authority);
}

// A promotion has no effect on a target that is a primary already, even in an ended term. Such a
// target has to step down before it can be a candidate.
bool PrimaryChange::awaitsStepDown(const FleetState &state, const PrimaryAuthority &authority,
                                   TimePoint now)
{
    bool awaits = false;
    for (const auto &[id, probe] : this->answers) {
        const RegisteredTarget *target = state.find(id);
        if (target == nullptr || !this->isStalePrimary(probe, authority))
            continue;
        awaits = true;
        if (now < this->stepDownAt)
            continue;
        this->ports.event("stale_primary_found",
                          {{"group", this->group.value},
                           {"target", id.value},
                           {"term", absl::StrCat(probe.term)},
                           {"newest_term", absl::StrCat(this->newestTerm(authority))}});
        this->ports.stepDown(*target, this->newestTerm(authority));
    }
    if (awaits && now >= this->stepDownAt)
        this->stepDownAt = now + this->settings.probeInterval;
    return awaits && now < this->surveyDeadline;
}

// Whether to wait for a target that knows the newest granted term, usually the one that led it.
bool PrimaryChange::awaitsNewestTerm(const PrimaryAuthority &authority, TimePoint now) const
{
    const bool isKnown =
        std::any_of(this->answers.begin(), this->answers.end(), [&authority](const auto &answer) {
            return answer.second.term >= authority.term;
        });
    return !isKnown && now < *this->newestTermDeadline;
}

void PrimaryChange::probeAll(const FleetState &state, const PrimaryAuthority &authority,
                             TimePoint now)
{
    if (now < this->probeAt)
        return;
    this->probeAt = now + this->settings.probeInterval;
    for (const auto &[id, target] : state.targets()) {
        if (target.group != this->group || target.phase == TargetPhase::Left)
            continue;
        if (this->cause != ChangeCause::PrimaryLost || id != authority.former)
            this->awaited.insert(id);
        this->ports.probe(target);
    }
}

bool PrimaryChange::isComplete() const
{
    return std::includes(this->responded.begin(), this->responded.end(), this->awaited.begin(),
                         this->awaited.end());
}

void PrimaryChange::survey(const FleetState &state, const PrimaryAuthority &authority,
                           TimePoint now)
{
    this->probeAll(state, authority, now);
    this->isLastResort = now >= this->lastResortDeadline;
    const bool isDecided =
        this->isComplete() || now >= this->surveyDeadline || this->hasCaughtUp(state, authority);
    if (!isDecided || this->awaitsReplica(state, authority, now)
        || this->awaitsStepDown(state, authority, now) || this->awaitsNewestTerm(authority, now))
        return;
    if (this->cause != ChangeCause::PrimaryOverloaded
        && this->adoptExistingPrimary(state, authority))
        return;
    if (!this->underWay->empty()) {
        this->beginPromotion(authority, *this->underWay, now);
        return;
    }
    if (this->awaitsHolders(state, authority, now))
        return;
    const std::optional<TargetId> best = this->chooseCandidate(state, authority);
    if (!best) {
        // No eligible target answered: restarts the survey, also with targets that refused a
        // promotion.
        this->refused.clear();
        this->surveyDeadline = now + this->settings.surveyTimeout;
        return;
    }
    if (this->awaitsCatchUp(*best, authority, now))
        return;
    this->ports.event("candidate_chosen",
                      {{"group", this->group.value},
                       {"target", best->value},
                       {"position", absl::StrCat(this->answers[*best].received.term, ".",
                                                 this->answers[*best].received.position)},
                       {"answered", absl::StrCat(this->answers.size())},
                       {"awaited", absl::StrCat(this->awaited.size())},
                       {"newest_term", absl::StrCat(this->newestTerm(authority))},
                       {"granted_term", absl::StrCat(authority.term)},
                       {"unheard", namesOf(this->unheardReplicas(state, authority))},
                       {"last_resort", this->isLastResort ? "yes" : "no"}});
    this->beginPromotion(authority, *best, now);
}

void PrimaryChange::beginPromotion(const PrimaryAuthority &authority, const TargetId &candidate,
                                   TimePoint now)
{
    this->step = Step::Promote;
    this->promoteAt = std::max({now, this->promoteAt, this->ports.promoteFrom()});
    // The targets are surveyed again meanwhile, as an earlier request may take effect.
    this->promotionDeadline =
        (this->requests.empty() ? this->promoteAt : now) + this->settings.promotionTimeout;
    this->chosen = candidate;
    this->termBefore = this->newestTerm(authority);
    if (!this->isChoiceCommitted(authority))
        this->ports.propose(ChooseCandidate{this->group, authority.generation, candidate,
                                            this->settings.lease.instance});
}

// Grants the authority to a target that already is the primary, without a promotion: an earlier
// promotion took effect, or the former primary was unreachable for a short time only. Its term must
// not be older than one that was granted before: the log of the older term lacks what was committed
// in the newer one, and only a promotion may roll that back.
bool PrimaryChange::adoptExistingPrimary(const FleetState &state, const PrimaryAuthority &authority)
{
    const TargetId *existingPrimary = nullptr;
    const std::uint64_t newest = this->newestTerm(authority);
    for (const auto &[id, probe] : this->answers) {
        if (probe.isPrimary && probe.term == newest)
            existingPrimary = &id;
    }
    if (existingPrimary == nullptr)
        return false;
    const RegisteredTarget *target = state.find(*existingPrimary);
    if (target == nullptr || target->phase != TargetPhase::Ready
        || this->ports.reachability(*existingPrimary) < 0)
        return false;
    // In the last resort the group goes on with what there is.
    if (this->isSynchronous() && !this->isLastResort && *existingPrimary == authority.former
        && !this->holdsOwnTerm(state, *existingPrimary, authority))
        return false;
    // An earlier promotion of another target may still take effect, or has taken effect before the
    // target went dark.
    if (!authority.candidate.empty() && authority.candidate != *existingPrimary)
        return false;
    this->grant(authority, *existingPrimary, this->answers.at(*existingPrimary));
    return true;
}

// A replica without an answer is waited for until it has been silent for long. One that is gone may
// be followed by a target that takes over its log; see DepartedReplicas.
std::vector<TargetId> PrimaryChange::unheardReplicas(const FleetState &state,
                                                     const PrimaryAuthority &authority) const
{
    std::vector<TargetId> unheard;
    if (!this->isSynchronous())
        return unheard;
    for (const auto &[id, target] : state.targets()) {
        const bool mayHold = target.group == this->group && target.phase != TargetPhase::Left
                             && id != authority.former && !this->ports.isLongSilent(id);
        if (mayHold && this->answers.count(id) == 0)
            unheard.push_back(id);
    }
    LogPosition best;
    for (const auto &[id, probe] : this->answers) {
        if (this->isEligible(id, probe, authority))
            best = std::max(best, probe.received);
    }
    for (const TargetId &id : this->ports.departedBeyond(best)) {
        const auto answer = this->answers.find(id);
        // A replica that has started again and holds entries has kept its log.
        const bool isHeard = id != authority.former && answer != this->answers.end()
                             && answer->second.received.position != 0;
        const bool isCounted = std::find(unheard.begin(), unheard.end(), id) != unheard.end();
        if (!isHeard && !isCounted)
            unheard.push_back(id);
    }
    return unheard;
}

// In a group that confirms a commit once n replicas hold it, any n replicas have one that answered
// if fewer than n did not.
bool PrimaryChange::awaitsHolders(const FleetState &state, const PrimaryAuthority &authority,
                                  TimePoint now)
{
    if (!this->isSynchronous() || this->isLastResort || this->hasCaughtUp(state, authority))
        return false;
    const std::vector<TargetId> unheard = this->unheardReplicas(state, authority);
    if (unheard.size() < this->ports.syncReplicas())
        return false;
    if (now >= this->surveyDeadline && unheard != this->reportedUnheard) {
        this->reportedUnheard = unheard;
        this->ports.event("primary_change_waits", {{"group", this->group.value},
                                                   {"unheard", namesOf(unheard)},
                                                   {"answered", absl::StrCat(this->answers.size())},
                                                   {"former", authority.former.value}});
    }
    return true;
}

// Whether the target may be a candidate, if need be once it has stepped down.
bool PrimaryChange::isEligible(const TargetId &id, const TargetProbe &probe,
                               const PrimaryAuthority &authority) const
{
    return id != authority.former
           && (this->isLastResort || isOnGrantedPath(authority, probe.received));
}

// The candidate for promotion: targets that are ready come first, then the most advanced log, then
// the better reachability. In a synchronous group only the most advanced log is known to hold all
// confirmed commits, also if its target is leaving and has to be replaced again. A log that has
// parted from the group's holds entries that a promotion rolled back; they must not come back after
// reads without them.
std::optional<TargetId> PrimaryChange::chooseCandidate(const FleetState &state,
                                                       const PrimaryAuthority &authority) const
{
    std::optional<TargetId> best;
    // What the newest granted term began with may have been confirmed.
    LogPosition mostAdvanced;
    if (!authority.termStarts.empty())
        mostAdvanced = authority.termStarts.back().position;
    auto rankOf = [this, &state](const TargetId &id, const TargetProbe &probe) {
        const RegisteredTarget *target = state.find(id);
        const bool isReady = target != nullptr && target->phase == TargetPhase::Ready;
        return std::make_tuple(isReady || this->isSynchronous(), probe.received, isReady,
                               this->ports.reachability(id));
    };
    for (const auto &[id, probe] : this->answers) {
        const RegisteredTarget *target = state.find(id);
        if (target == nullptr || !this->isEligible(id, probe, authority))
            continue;
        mostAdvanced = std::max(mostAdvanced, probe.received);
        if (this->refused.count(id) != 0 || this->isStalePrimary(probe, authority))
            continue;
        if (!best || rankOf(*best, this->answers.at(*best)) < rankOf(id, probe))
            best = id;
    }
    const bool mayLackCommits = best && this->isSynchronous() && !this->isLastResort
                                && this->answers.at(*best).received < mostAdvanced;
    return mayLackCommits ? std::nullopt : best;
}

bool PrimaryChange::awaitsReplica(const FleetState &state, const PrimaryAuthority &authority,
                                  TimePoint now)
{
    if (!this->canCancel(authority) || this->hasCaughtUp(state, authority))
        return false;
    if (now >= this->catchUpDeadline)
        this->cancel(authority, now);
    return true;
}

// Whether the change may still be cancelled. Once a candidate is chosen its promotion may take
// effect, so the change has to go on.
bool PrimaryChange::canCancel(const PrimaryAuthority &authority) const
{
    const bool serves = this->cause == ChangeCause::PrimaryOverloaded
                        || (this->cause == ChangeCause::PrimaryLeaves && this->isSynchronous()
                            && this->formerLeads(authority));
    return serves && authority.candidate.empty();
}

void PrimaryChange::cancel(const PrimaryAuthority &authority, TimePoint now)
{
    this->ports.event("primary_change_given_up",
                      {{"group", this->group.value},
                       {"cause", std::string(nameOf(this->cause))},
                       {"surveyed", this->step == Step::Survey ? "yes" : "no"},
                       {"answered", absl::StrCat(this->answers.size())}});
    this->proposedUntil = now + this->settings.proposalTimeout;
    this->proposeGrant({this->group, authority.generation, authority.former, authority.term, {}},
                       authority);
}

const TargetProbe *PrimaryChange::formerAnswer(const FleetState &state,
                                               const PrimaryAuthority &authority) const
{
    const auto former = this->answers.find(authority.former);
    if (former == this->answers.end()
        || (this->isSynchronous() && !this->holdsOwnTerm(state, authority.former, authority)))
        return nullptr;
    return &former->second;
}

// A target that starts again may have lost its log. It then lacks entries that others received from
// it, or what its term began with; an empty log tells nothing beside replicas that are unheard.
bool PrimaryChange::holdsOwnTerm(const FleetState &state, const TargetId &id,
                                 const PrimaryAuthority &authority) const
{
    const LogPosition &received = this->answers.at(id).received;
    const bool isBehind =
        std::any_of(this->answers.begin(), this->answers.end(), [&](const auto &answer) {
            return received < answer.second.received
                   && this->isEligible(answer.first, answer.second, authority);
        });
    const bool lacksStart =
        !authority.termStarts.empty() && received < authority.termStarts.back().position;
    const bool mayBeLost =
        received.position == 0 && !this->unheardReplicas(state, authority).empty();
    return !isBehind && !lacksStart && !mayBeLost;
}

// Whether a replica is known to hold everything that the former primary holds, so that none can be
// more advanced.
bool PrimaryChange::hasCaughtUp(const FleetState &state, const PrimaryAuthority &authority) const
{
    const TargetProbe *former = this->formerAnswer(state, authority);
    const std::optional<TargetId> best = this->chooseCandidate(state, authority);
    return best && former != nullptr && !(this->answers.at(*best).received < former->received);
}

// Whether to wait for the candidate to reach the position of a former primary that still answers.
bool PrimaryChange::awaitsCatchUp(const TargetId &candidate, const PrimaryAuthority &authority,
                                  TimePoint now) const
{
    const auto former = this->answers.find(authority.former);
    if (former == this->answers.end() || now >= this->catchUpDeadline)
        return false;
    return this->answers.at(candidate).received < former->second.received;
}

bool PrimaryChange::formerLeads(const PrimaryAuthority &authority) const
{
    const auto former = this->answers.find(authority.former);
    return former != this->answers.end() && former->second.isPrimary
           && former->second.term == authority.term;
}

bool PrimaryChange::isChoiceCommitted(const PrimaryAuthority &authority) const
{
    return authority.candidate == this->chosen
           && authority.chooser == this->settings.lease.instance;
}

void PrimaryChange::promote(const PrimaryAuthority &authority, TimePoint now)
{
    if (now >= this->promotionDeadline) {
        this->enterSurvey(now);
        return;
    }
    // Promotes only after the choice is committed, so that a new leader continues with it.
    if (!this->isChoiceCommitted(authority) || now < this->promoteAt)
        return;
    this->repeatInterval =
        std::clamp<Duration>(2 * this->repeatInterval, this->settings.promotionInterval,
                             this->settings.maxPromotionInterval);
    this->promoteAt = now + this->repeatInterval;
    this->underWay = authority.candidate;
    this->requestedToken = authority.token;
    this->ports.event("promotion_requested", {{"group", this->group.value},
                                              {"target", authority.candidate.value},
                                              {"token", absl::StrCat(authority.token)}});
    const std::uint64_t number =
        this->ports.promote({this->group, authority.candidate, authority.token});
    this->requests.insert(number);
    if (this->firstRequest == 0)
        this->firstRequest = number;
}

void PrimaryChange::promotionAnswered(const PromotionRequest &request, PromotionOutcome outcome,
                                      TimePoint now)
{
    this->ports.event("promotion_answered", {{"group", this->group.value},
                                             {"target", request.target.value},
                                             {"outcome", std::string(nameOf(outcome))}});
    const bool isCurrent = this->underWay && *this->underWay == request.target
                           && this->requestedToken == request.token
                           && this->firstRequest <= request.number;
    if (!isCurrent)
        return;
    if (outcome == PromotionOutcome::Accepted || outcome == PromotionOutcome::Refused) {
        this->requests.erase(this->requests.begin(), this->requests.upper_bound(request.number));
        this->isInherited = false;
    } else {
        if (outcome == PromotionOutcome::NotSent)
            this->requests.erase(request.number);
        this->repeatInterval = {};
        this->promoteAt = std::min(this->promoteAt, now + this->settings.promotionInterval);
    }
    if (this->step == Step::AwaitPromotion)
        return;
    if (outcome == PromotionOutcome::Accepted) {
        this->step = Step::AwaitPromotion;
        this->probeAt = now;
        this->promotionDeadline = now + this->settings.promotionTimeout;
        this->answers.clear();
    } else if (outcome == PromotionOutcome::Refused && this->isSettled()) {
        this->endPromotion();
        this->enterSurvey(now);
    } else if (this->isSettled()) {
        // Nothing was sent, so the next survey may choose another target.
        this->underWay = TargetId();
    }
}

void PrimaryChange::endPromotion()
{
    this->underWay = TargetId();
    // The time that the platform took is none for which targets were waited for.
    this->newestTermDeadline.reset();
    this->repeatInterval = {};
    this->promoteAt = {};
}

void PrimaryChange::awaitPromotion(const FleetState &state, const PrimaryAuthority &authority,
                                   TimePoint now)
{
    if (now >= this->promotionDeadline) {
        this->refused.insert(authority.candidate);
        if (this->isSettled())
            this->endPromotion();
        this->enterSurvey(now);
        return;
    }
    const auto answer = this->answers.find(authority.candidate);
    if (answer != this->answers.end() && answer->second.isPrimary
        && answer->second.term >= this->termBefore) {
        if (const RegisteredTarget *former = state.find(authority.former))
            this->ports.stepDown(*former, answer->second.term);
        this->proposedUntil = now + this->settings.proposalTimeout;
        this->grant(authority, authority.candidate, answer->second);
        return;
    }
    const RegisteredTarget *candidate = state.find(authority.candidate);
    if (candidate == nullptr || now < this->probeAt)
        return;
    this->probeAt = now + this->settings.probeInterval;
    this->ports.probe(*candidate);
}

void PrimaryChange::probed(const TargetId &target, const std::optional<TargetProbe> &result)
{
    this->responded.insert(target);
    if (result)
        this->answers[target] = *result;
    else
        this->answers.erase(target);
}

void PrimaryChange::grant(const PrimaryAuthority &authority, const TargetId &primary,
                          const TargetProbe &probe)
{
    GrantAuthority command{this->group, authority.generation, primary, probe.term, {}};
    // Nobody commits in a term before its primary is granted the authority.
    if (probe.received.term < probe.term)
        command.start = probe.received;
    this->proposeGrant(command, authority);
}

void PrimaryChange::proposeGrant(const GrantAuthority &command, const PrimaryAuthority &authority)
{
    this->ports.event("authority_proposed",
                      {{"group", this->group.value},
                       {"target", command.primary.value},
                       {"term", absl::StrCat(command.term)},
                       {"start", absl::StrCat(command.start.term, ".", command.start.position)},
                       {"granted_term", absl::StrCat(authority.term)}});
    this->ports.propose(command);
}

} // namespace rhubarbweir
