// State machine for one change of a group's primary, run by the leader after the authority of the
// former primary was revoked: wait until no pooler may use it, survey the targets, promote a
// candidate, wait until it reports itself as the primary, and grant it the authority. A new leader
// starts over at the first step; the committed candidate and token carry over.
//
// A request that was given up may still be carried out, and would take the lead from another target
// that was granted the authority meanwhile. So the candidate stays until it leads, or until a later
// request for it is answered, as the platform carries them out in the order of their arrival.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/coordination/fleet/primary_failure_detector.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbweir {

enum class ChangeCause {
    // The primary does not answer, or left the fleet.
    PrimaryLost,
    // The primary is draining, or reports itself as a replica.
    PrimaryLeaves,
    // The primary serves all reads, because its replicas are behind. After the change the former
    // primary is a replica that is not behind.
    PrimaryOverloaded,
};

template<>
struct EnumNames<ChangeCause>
{
    static constexpr std::string_view Names[] = {"primary_lost", "primary_leaves",
                                                 "primary_overloaded"};
};

// What a change needs of its controller.
struct PrimaryChangePorts
{
    std::function<void(const FleetCommand &)> propose;
    std::function<void(const RegisteredTarget &)> probe;
    // Sends the request and returns the number that it is given.
    std::function<std::uint64_t(const PromotionRequest &)> promote;
    // When a promotion may be requested at the earliest.
    std::function<TimePoint()> promoteFrom;
    std::function<void(const RegisteredTarget &, std::uint64_t term)> stepDown;
    // Whether some pooler may still use the former primary.
    std::function<bool(TimePoint)> mayFormerBeUsed;
    std::function<int(const TargetId &)> reachability;
    // How many replicas hold a commit of the group before it is confirmed.
    std::function<std::uint32_t()> syncReplicas;
    // Replicas that are gone, or have started again, and may hold commits beyond the position.
    std::function<std::vector<TargetId>(const LogPosition &)> departedBeyond;
    // Whether the target has not announced itself for lastResortTimeout.
    std::function<bool(const TargetId &)> isLongSilent;
    std::function<void(std::string_view event, const FleetEventFields &)> event;
};

class PrimaryChange
{
public:
    PrimaryChange(const FleetSettings &settings, GroupId group, ChangeCause cause,
                  PrimaryChangePorts ports, TimePoint now);

    void advance(const FleetState &state, TimePoint now);
    // Empty when the target did not answer.
    void probed(const TargetId &target, const std::optional<TargetProbe> &result);
    void promotionAnswered(const PromotionRequest &request, PromotionOutcome outcome,
                           TimePoint now);

private:
    enum class Step {
        AwaitRevocation,
        Survey,
        Promote,
        AwaitPromotion,
    };

    void enterSurvey(TimePoint now);
    // Newest term of the group's log that the answers tell, or the state unless in the last resort.
    std::uint64_t newestTerm(const PrimaryAuthority &authority) const;
    // Whether the target still leads a term that a newer one has ended.
    bool isStalePrimary(const TargetProbe &probe, const PrimaryAuthority &authority) const;
    bool awaitsStepDown(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    bool awaitsNewestTerm(const PrimaryAuthority &authority, TimePoint now) const;
    void survey(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    void probeAll(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    bool isComplete() const;
    // The former primary's answer unless its log is known not to be the one that it led with.
    const TargetProbe *formerAnswer(const FleetState &state,
                                    const PrimaryAuthority &authority) const;
    bool isSynchronous() const { return this->ports.syncReplicas() > 0; }
    // Replicas without an answer that may hold confirmed commits beyond those of the answers.
    std::vector<TargetId> unheardReplicas(const FleetState &state,
                                          const PrimaryAuthority &authority) const;
    // Whether a confirmed commit may be on targets alone that have not answered.
    bool awaitsHolders(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    bool isEligible(const TargetId &id, const TargetProbe &probe,
                    const PrimaryAuthority &authority) const;
    bool hasCaughtUp(const FleetState &state, const PrimaryAuthority &authority) const;
    // Whether the target's log may be taken for the one that it led with.
    bool holdsOwnTerm(const FleetState &state, const TargetId &id,
                      const PrimaryAuthority &authority) const;
    bool adoptExistingPrimary(const FleetState &state, const PrimaryAuthority &authority);
    std::optional<TargetId> chooseCandidate(const FleetState &state,
                                            const PrimaryAuthority &authority) const;
    // True while a change that may be cancelled waits for a replica to catch up. Cancels it at the
    // deadline.
    bool awaitsReplica(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    bool formerLeads(const PrimaryAuthority &authority) const;
    bool canCancel(const PrimaryAuthority &authority) const;
    void cancel(const PrimaryAuthority &authority, TimePoint now);
    bool awaitsCatchUp(const TargetId &candidate, const PrimaryAuthority &authority,
                       TimePoint now) const;
    // Whether the choice is committed with this instance as the chooser.
    bool isChoiceCommitted(const PrimaryAuthority &authority) const;
    // Whether no request for the candidate may be carried out any more.
    bool isSettled() const { return this->requests.empty() && !this->isInherited; }
    // No promotion is under way any more; another target may be chosen.
    void endPromotion();
    void beginPromotion(const PrimaryAuthority &authority, const TargetId &candidate,
                        TimePoint now);
    void promote(const PrimaryAuthority &authority, TimePoint now);
    void awaitPromotion(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    // `probe` is the answer that shows the target as the primary.
    void grant(const PrimaryAuthority &authority, const TargetId &primary,
               const TargetProbe &probe);
    void proposeGrant(const GrantAuthority &command, const PrimaryAuthority &authority);

    const FleetSettings &settings;
    GroupId group;
    ChangeCause cause;
    PrimaryChangePorts ports;
    Step step = Step::AwaitRevocation;
    TimePoint surveyDeadline;
    TimePoint catchUpDeadline;
    // End of the wait for a target that knows the newest granted term; set by the first survey.
    std::optional<TimePoint> newestTermDeadline;
    // Set with it; see FleetSettings::lastResortTimeout.
    TimePoint lastResortDeadline;
    bool isLastResort = false;
    TimePoint stepDownAt;
    TimePoint promotionDeadline;
    TimePoint probeAt;
    TimePoint promoteAt;
    // Latest answer of each target in this survey.
    std::map<TargetId, TargetProbe> answers;
    // Targets of this survey whose probe has answered or failed, and those that it waits for.
    std::set<TargetId> responded;
    std::set<TargetId> awaited;
    // Unheard replicas that the last event named.
    std::vector<TargetId> reportedUnheard;
    // Targets that refused a promotion in this change.
    std::set<TargetId> refused;
    // The target whose promotion may still be carried out; empty if none may, absent before the
    // first step of this change.
    std::optional<TargetId> underWay;
    // Whether a former leader may have requested it, with no later request answered since.
    bool isInherited = false;
    // Numbers of this change's requests for it that may still be carried out, and the first of
    // them.
    std::set<std::uint64_t> requests;
    std::uint64_t firstRequest = 0;
    // Token of the requests; 0 before the first.
    std::uint64_t requestedToken = 0;
    // Time until the request is repeated; doubles each time.
    Duration repeatInterval{};
    // The survey's choice, and the newest term at that time. The choice leads a term at least as
    // new once its promotion has taken effect.
    TargetId chosen;
    std::uint64_t termBefore = 0;
    // A grant is not proposed again before this. The controller destroys this object once the grant
    // is applied.
    TimePoint proposedUntil;
};

} // namespace rhubarbweir
