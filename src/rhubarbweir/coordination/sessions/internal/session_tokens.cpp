// See session_pooler.hpp. This file: tokens of teams that have a limit.
#include "rhubarbweir/coordination/sessions/session_pooler.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

const TeamLimit *SessionPooler::limitOf(const TeamId &team) const
{
    if (!this->settings.limitsTeams || team.empty())
        return nullptr;
    const auto &teams = this->view.routes().teams;
    const auto found = teams.find(team);
    return found != teams.end() && found->second.limit ? &*found->second.limit : nullptr;
}

// Whether the pending statement needs no token or has taken one. Otherwise it waits for one or was
// refused. Only the first statement of a transaction, or one outside a transaction, needs a token;
// attempts after the first need no further one. To be called after the check of access, which may
// have moved the session to another team.
bool SessionPooler::mayProceed(Session &session, TimePoint now)
{
    PendingStatement &pending = *session.pending;
    // An earlier attempt may have run as an operation of the former team.
    if (pending.token && pending.tokenTeam != session.team)
        this->settleToken(pending, pending.attempts > 0, now);
    if (session.pinned != 0 || pending.token || this->limitOf(session.team) == nullptr)
        return true;
    // Those that wait are not overtaken.
    const auto waiting = this->awaitingToken.find(session.team);
    const bool isQueued = waiting != this->awaitingToken.end() && !waiting->second.empty();
    if (pending.tokenTeam != session.team)
        this->budget.arrived(session.team);
    pending.tokenTeam = session.team;
    if (!isQueued)
        pending.token = this->budget.take(session.team, now);
    if (pending.token)
        return true;
    const TokenShortage shortage = this->budget.shortage(session.team, now);
    if (shortage == TokenShortage::Awaited)
        this->awaitToken(session, now);
    else
        this->refuseWithoutToken(session, shortage, now);
    return false;
}

void SessionPooler::awaitToken(Session &session, TimePoint now)
{
    PendingStatement &pending = *session.pending;
    std::deque<SessionNumber> &waiting = this->awaitingToken[session.team];
    if (this->budget.waiting() >= this->settings.queueLimit) {
        this->refuse(session, StatementFault::Busy, "too many operations wait for tokens", now);
        return;
    }
    pending.stage = StatementStage::AwaitingToken;
    const Duration objective = std::min(pending.route.timeout, pending.route.latencyObjective);
    pending.resumeAt =
        pending.arrivedAt
        + TeamBudget::longestWait(objective,
                                  this->queue.usualWork(pending.route.group, pending.needsPrimary));
    waiting.push_back(session.number);
    this->budget.setWaiting(session.team, waiting.size());
    this->requestTokensIfDue(now);
}

void SessionPooler::refuseWithoutToken(Session &session, TokenShortage shortage, TimePoint now)
{
    const std::string_view cause = shortage == TokenShortage::Exhausted       ? "limit"
                                   : shortage == TokenShortage::WithoutLeader ? "no_leader"
                                                                              : "no_answer";
    this->hooks.event("operation_without_token",
                      {{"request", session.pending->statement.id},
                       {"team", session.team.value},
                       {"cause", std::string(cause)}},
                      false);
    this->refuse(session,
                 shortage == TokenShortage::Exhausted ? StatementFault::TooMany
                                                      : StatementFault::Busy,
                 shortage == TokenShortage::Exhausted ? "team over its limit"
                                                      : "limit of the team not known",
                 now);
}

// Whether the operation ran or may have run. An earlier attempt may have run on a lost connection,
// so only an operation that was never sent, or was sent once and refused by the target, is known
// not to have run. Attempts that a busy or lagging target refused are not counted.
bool SessionPooler::didOperationRun(const PendingStatement &pending,
                                    const std::optional<StatementFault> &fault)
{
    if (!fault || pending.attempts == 0)
        return !fault;
    const bool isRefusal = *fault == StatementFault::Busy || *fault == StatementFault::Lagging
                           || *fault == StatementFault::ReadOnly
                           || *fault == StatementFault::WrongTarget
                           || *fault == StatementFault::TooMany;
    const bool wasAnswered =
        pending.stage == StatementStage::Sent || pending.stage == StatementStage::Beginning;
    return pending.attempts > 1 || !isRefusal || !wasAnswered;
}

// Called when the operation has run, may have run, or was refused.
void SessionPooler::settleToken(PendingStatement &pending, bool hasRun, TimePoint now)
{
    if (!pending.token)
        return;
    this->budget.settle(pending.tokenTeam, *pending.token, hasRun, now);
    pending.token.reset();
    // A further attempt as another team arrives there.
    pending.tokenTeam = TeamId();
}

void SessionPooler::stopAwaiting(const Session &session)
{
    const TeamId &team = session.pending->tokenTeam;
    const auto found = this->awaitingToken.find(team);
    if (found == this->awaitingToken.end())
        return;
    std::deque<SessionNumber> &waiting = found->second;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), session.number), waiting.end());
    this->budget.setWaiting(team, waiting.size());
    if (waiting.empty())
        this->awaitingToken.erase(found);
}

// Starts the operations that get a token now, and refuses the others if the team is at its limit.
void SessionPooler::serveAwaiting(const TeamId &team, TimePoint now)
{
    const auto found = this->awaitingToken.find(team);
    if (found == this->awaitingToken.end())
        return;
    std::deque<SessionNumber> waiting = std::move(found->second);
    this->awaitingToken.erase(found);
    this->budget.setWaiting(team, 0);
    // Each takes a token, is refused, or awaits one again, in the same order.
    for (const SessionNumber number : waiting) {
        const auto session = this->sessions.find(number);
        if (session != this->sessions.end() && session->second.pending
            && session->second.pending->stage == StatementStage::AwaitingToken)
            this->dispatch(session->second, now);
    }
}

// Starts operations whose team has lost its limit.
void SessionPooler::serveUnlimited(TimePoint now)
{
    std::vector<TeamId> unlimited;
    for (const auto &[team, waiting] : this->awaitingToken) {
        if (this->limitOf(team) == nullptr)
            unlimited.push_back(team);
    }
    for (const TeamId &team : unlimited)
        this->serveAwaiting(team, now);
}

std::optional<TokenReport> SessionPooler::tokenReport(TimePoint now)
{
    const auto &teams = this->view.routes().teams;
    const bool hasLimits = this->settings.limitsTeams
                           && std::any_of(teams.begin(), teams.end(), [](const auto &entry) {
                                  return entry.second.limit.has_value();
                              });
    if (!hasLimits || !this->budget.mayReport(now))
        return std::nullopt;
    return this->budget.report(now);
}

void SessionPooler::tokensAnswered(const TokenAnswer &answer, TimePoint now)
{
    for (const TeamId &team : this->budget.answered(answer, now))
        this->serveAwaiting(team, now);
    this->requestTokensIfDue(now);
}

void SessionPooler::tokensUnanswered(bool isRefused)
{
    if (isRefused)
        this->budget.refused();
    else
        this->budget.disconnected();
}

void SessionPooler::requestTokensIfDue(TimePoint now)
{
    if (now < this->budget.requestDueAt())
        return;
    // Without a connection nothing is sent; a report postpones this further.
    this->budget.requestNotSent(now);
    this->hooks.tokensNeeded();
}

} // namespace rhubarbweir
