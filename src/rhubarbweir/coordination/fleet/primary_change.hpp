// One change of a group's primary, run by the leader after the authority of the former primary
// was taken away: wait until nobody may use it, survey the targets, promote, wait until the
// promoted target leads, give it the authority. A new leader starts over at the first step; the
// committed candidate and token carry over.
#pragma once

#include "rhubarbweir/coordination/fleet/fleet_settings.hpp"
#include "rhubarbweir/coordination/fleet/primary_watch.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace rhubarbweir {

enum class ChangeCause {
    // It does not answer, or left.
    PrimaryLost,
    // It will end soon, or says that it does not lead.
    PrimaryLeaves,
    // It serves all reads alone, as its replicas are behind. The former primary, as a replica, is
    // not behind.
    PrimaryOverloaded,
};

template<>
struct EnumNames<ChangeCause>
{
    static constexpr std::string_view Names[] = {"primary_lost", "primary_leaves",
                                                 "primary_overloaded"};
};

// What a change asks of its controller.
struct PrimaryChangePorts
{
    std::function<void(const FleetCommand &)> propose;
    std::function<void(const RegisteredTarget &)> probe;
    std::function<void(const PromotionRequest &)> promote;
    std::function<void(const RegisteredTarget &, std::uint64_t term)> stepDown;
    // Whether some pooler may still use the former primary.
    std::function<bool(TimePoint)> mayBeUsed;
    std::function<int(const TargetId &)> reachability;
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
    void promotionAnswered(PromotionOutcome outcome, TimePoint now);

private:
    enum class Step {
        AwaitHolders,
        Survey,
        Promote,
        AwaitLead,
    };

    void enterSurvey(TimePoint now);
    void survey(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    void probeAll(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    bool isComplete() const;
    bool hasCaughtUp(const FleetState &state, const PrimaryAuthority &authority) const;
    bool adoptLeading(const FleetState &state, const PrimaryAuthority &authority);
    std::optional<TargetId> choose(const FleetState &state,
                                   const PrimaryAuthority &authority) const;
    // An overloaded primary gives way only to a replica that has caught up; else it goes on.
    bool awaitsRelief(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    bool mayGoBack(const PrimaryAuthority &authority) const;
    void giveUpRelief(const PrimaryAuthority &authority, TimePoint now);
    bool awaitsCatchUp(const TargetId &candidate, const PrimaryAuthority &authority,
                       TimePoint now) const;
    // Whether the choice is committed under this instance's name.
    bool isOwnChoice(const PrimaryAuthority &authority) const;
    void promote(const PrimaryAuthority &authority, TimePoint now);
    void awaitLead(const FleetState &state, const PrimaryAuthority &authority, TimePoint now);
    void grant(const PrimaryAuthority &authority, const TargetId &primary);

    const FleetSettings &settings;
    GroupId group;
    ChangeCause cause;
    PrimaryChangePorts ports;
    Step step = Step::AwaitHolders;
    TimePoint surveyDeadline;
    TimePoint catchUpDeadline;
    TimePoint leadDeadline;
    TimePoint probeAt;
    TimePoint promoteAt;
    // Newest answers of this survey.
    std::map<TargetId, TargetProbe> answers;
    // Targets of this survey that answered or failed, and those that are waited for.
    std::set<TargetId> settled;
    std::set<TargetId> awaited;
    // Targets that refused a promotion in this change.
    std::set<TargetId> refused;
    // The survey's choice.
    TargetId chosen;
    // A change is proposed once; the controller drops this object when it is applied.
    TimePoint proposedUntil;
};

} // namespace rhubarbweir
