// See primary_change.hpp.
#include "rhubarbweir/coordination/fleet/primary_change.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace rhubarbweir {

namespace {

Duration catchUpPatience(const FleetSettings &settings, ChangeCause cause)
{
    switch (cause) {
    case ChangeCause::PrimaryLost:
        return settings.lostCatchUpPatience;
    case ChangeCause::PrimaryOverloaded:
        return settings.reliefPatience;
    default:
        return settings.catchUpPatience;
    }
}

} // namespace

PrimaryChange::PrimaryChange(const FleetSettings &fleetSettings, GroupId groupId,
                             ChangeCause changeCause, PrimaryChangePorts changePorts, TimePoint now)
    : settings(fleetSettings)
    , group(std::move(groupId))
    , cause(changeCause)
    , ports(std::move(changePorts))
    , catchUpDeadline(now + catchUpPatience(fleetSettings, changeCause))
{
}

void PrimaryChange::advance(const FleetState &state, TimePoint now)
{
    const PrimaryAuthority *authority = state.authority(this->group);
    if (authority == nullptr || !authority->primary.empty() || now < this->proposedUntil)
        return;
    if (this->step == Step::AwaitHolders && !this->ports.mayBeUsed(now)) {
        this->ports.event("former_primary_unused", {{"group", this->group.value}});
        this->enterSurvey(now);
    } else if (this->step == Step::AwaitHolders && this->mayGoBack(*authority)
               && now >= this->catchUpDeadline) {
        this->giveUpRelief(*authority, now);
    }
    if (this->step == Step::Survey)
        this->survey(state, *authority, now);
    if (this->step == Step::Promote)
        this->promote(*authority, now);
    if (this->step == Step::AwaitLead)
        this->awaitLead(state, *authority, now);
}

void PrimaryChange::enterSurvey(TimePoint now)
{
    this->step = Step::Survey;
    this->answers.clear();
    this->settled.clear();
    this->awaited.clear();
    this->surveyDeadline = now + this->settings.surveyPatience;
    this->probeAt = now;
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
    return std::includes(this->settled.begin(), this->settled.end(), this->awaited.begin(),
                         this->awaited.end());
}

void PrimaryChange::survey(const FleetState &state, const PrimaryAuthority &authority,
                           TimePoint now)
{
    this->probeAll(state, authority, now);
    const bool isDecided =
        this->isComplete() || now >= this->surveyDeadline || this->hasCaughtUp(state, authority);
    if (!isDecided || this->awaitsRelief(state, authority, now))
        return;
    if (this->cause != ChangeCause::PrimaryOverloaded && this->adoptLeading(state, authority))
        return;
    const std::optional<TargetId> best = this->choose(state, authority);
    if (!best) {
        // Nobody fit answered: begin again, and give refused targets another chance.
        this->refused.clear();
        this->surveyDeadline = now + this->settings.surveyPatience;
        return;
    }
    if (this->awaitsCatchUp(*best, authority, now))
        return;
    this->step = Step::Promote;
    this->promoteAt = now;
    this->leadDeadline = now + this->settings.promotionPatience;
    this->ports.event("candidate_chosen",
                      {{"group", this->group.value},
                       {"target", best->value},
                       {"position", absl::StrCat(this->answers[*best].received.term, ".",
                                                 this->answers[*best].received.position)},
                       {"answered", absl::StrCat(this->answers.size())},
                       {"awaited", absl::StrCat(this->awaited.size())}});
    this->chosen = *best;
    if (!this->isOwnChoice(authority))
        this->ports.propose(ChooseCandidate{this->group, authority.generation, *best,
                                            this->settings.lease.instance});
}

// A target that leads already needs no promotion: a former call took effect, or the primary was
// only out of reach for a while.
bool PrimaryChange::adoptLeading(const FleetState &state, const PrimaryAuthority &authority)
{
    const TargetId *leading = nullptr;
    std::uint64_t newestTerm = 0;
    for (const auto &[id, probe] : this->answers) {
        if (probe.isPrimary && probe.term > newestTerm) {
            newestTerm = probe.term;
            leading = &id;
        }
    }
    if (leading == nullptr)
        return false;
    for (const auto &[id, probe] : this->answers) {
        if (probe.term > newestTerm)
            return false;
    }
    const RegisteredTarget *target = state.find(*leading);
    if (target == nullptr || target->phase != TargetPhase::Ready
        || this->ports.reachability(*leading) < 0)
        return false;
    // An earlier call for another target may still take effect.
    if (!authority.candidate.empty() && authority.candidate != *leading)
        return false;
    this->grant(authority, *leading);
    return true;
}

// The most advanced replica; among equals one that stays, then the better reachable.
std::optional<TargetId> PrimaryChange::choose(const FleetState &state,
                                              const PrimaryAuthority &authority) const
{
    std::optional<TargetId> best;
    auto rankOf = [this, &state](const TargetId &id, const TargetProbe &probe) {
        const RegisteredTarget *target = state.find(id);
        const bool stays = target != nullptr && target->phase == TargetPhase::Ready;
        return std::make_tuple(stays, probe.received, this->ports.reachability(id));
    };
    for (const auto &[id, probe] : this->answers) {
        const RegisteredTarget *target = state.find(id);
        if (target == nullptr || this->refused.count(id) != 0 || id == authority.former)
            continue;
        if (!best || rankOf(*best, this->answers.at(*best)) < rankOf(id, probe))
            best = id;
    }
    return best;
}

bool PrimaryChange::awaitsRelief(const FleetState &state, const PrimaryAuthority &authority,
                                 TimePoint now)
{
    if (!this->mayGoBack(authority) || this->hasCaughtUp(state, authority))
        return false;
    if (now >= this->catchUpDeadline)
        this->giveUpRelief(authority, now);
    return true;
}

// With a choice made, a call for it may take effect: the change goes on.
bool PrimaryChange::mayGoBack(const PrimaryAuthority &authority) const
{
    return this->cause == ChangeCause::PrimaryOverloaded && authority.candidate.empty();
}

void PrimaryChange::giveUpRelief(const PrimaryAuthority &authority, TimePoint now)
{
    this->ports.event("relief_given_up", {{"group", this->group.value},
                                          {"surveyed", this->step == Step::Survey ? "yes" : "no"},
                                          {"answered", absl::StrCat(this->answers.size())}});
    this->proposedUntil = now + this->settings.proposalPatience;
    this->grant(authority, authority.former);
}

// Whether a replica is known to hold all that the former primary does: no other can be better.
bool PrimaryChange::hasCaughtUp(const FleetState &state, const PrimaryAuthority &authority) const
{
    const auto former = this->answers.find(authority.former);
    const std::optional<TargetId> best = this->choose(state, authority);
    return best && former != this->answers.end()
           && !(this->answers.at(*best).received < former->second.received);
}

// While the former primary can still be asked, the replica may catch up with all its commits.
bool PrimaryChange::awaitsCatchUp(const TargetId &candidate, const PrimaryAuthority &authority,
                                  TimePoint now) const
{
    const auto former = this->answers.find(authority.former);
    if (former == this->answers.end() || now >= this->catchUpDeadline)
        return false;
    return this->answers.at(candidate).received < former->second.received;
}

bool PrimaryChange::isOwnChoice(const PrimaryAuthority &authority) const
{
    return authority.candidate == this->chosen
           && authority.chooser == this->settings.lease.instance;
}

void PrimaryChange::promote(const PrimaryAuthority &authority, TimePoint now)
{
    if (now >= this->leadDeadline) {
        this->enterSurvey(now);
        return;
    }
    // The choice is committed first, so that a new leader goes on with it.
    if (!this->isOwnChoice(authority) || now < this->promoteAt)
        return;
    this->promoteAt = now + this->settings.promotionInterval;
    this->ports.event("promotion_requested", {{"group", this->group.value},
                                              {"target", authority.candidate.value},
                                              {"token", absl::StrCat(authority.token)}});
    this->ports.promote({this->group, authority.candidate, authority.token});
}

void PrimaryChange::promotionAnswered(PromotionOutcome outcome, TimePoint now)
{
    this->ports.event("promotion_answered",
                      {{"group", this->group.value}, {"outcome", std::string(nameOf(outcome))}});
    if (this->step != Step::Promote)
        return;
    if (outcome == PromotionOutcome::Accepted) {
        this->step = Step::AwaitLead;
        this->probeAt = now;
        this->leadDeadline = now + this->settings.promotionPatience;
        this->answers.clear();
    } else if (outcome == PromotionOutcome::Refused) {
        this->enterSurvey(now);
    }
}

void PrimaryChange::awaitLead(const FleetState &state, const PrimaryAuthority &authority,
                              TimePoint now)
{
    if (now >= this->leadDeadline) {
        this->refused.insert(authority.candidate);
        this->enterSurvey(now);
        return;
    }
    const auto answer = this->answers.find(authority.candidate);
    if (answer != this->answers.end() && answer->second.isPrimary) {
        if (const RegisteredTarget *former = state.find(authority.former))
            this->ports.stepDown(*former, answer->second.term);
        this->proposedUntil = now + this->settings.proposalPatience;
        this->grant(authority, authority.candidate);
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
    this->settled.insert(target);
    if (result)
        this->answers[target] = *result;
    else
        this->answers.erase(target);
}

void PrimaryChange::grant(const PrimaryAuthority &authority, const TargetId &primary)
{
    this->ports.event("authority_proposed",
                      {{"group", this->group.value}, {"target", primary.value}});
    this->ports.propose(GrantAuthority{this->group, authority.generation, primary});
}

} // namespace rhubarbweir
