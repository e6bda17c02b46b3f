// The part of RequestRouter that faces callers: connections, sessions and request admission.
#include "rhubarbweir/coordination/proxy/request_router.hpp"

#include <algorithm>
#include <tuple>

namespace rhubarbweir {

namespace {

constexpr std::string_view HexadecimalDigits = "0123456789abcdef";

std::string hexadecimal(std::uint64_t value)
{
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4)
        text.push_back(HexadecimalDigits[(value >> shift) & 0xfU]);
    return text;
}

bool isSameRequest(const CallerRequest &a, const CallerRequest &b)
{
    return std::tie(a.kind, a.group, a.transaction, a.key, a.value, a.operation, a.consistency,
                    a.askedRequestId)
           == std::tie(b.kind, b.group, b.transaction, b.key, b.value, b.operation, b.consistency,
                       b.askedRequestId);
}

} // namespace

void RequestRouter::callerOpened(CallerConnectionId connection)
{
    this->sessions[connection] = {};
}

void RequestRouter::callerMessage(CallerConnectionId connection, const CallerMessage &message,
                                  TimePoint now)
{
    if (const auto *open = std::get_if<OpenSession>(&message))
        this->openSession(connection, *open);
    else
        this->handleRequest(connection, std::get<CallerRequest>(message), now);
}

void RequestRouter::callerClosed(CallerConnectionId connection, TimePoint)
{
    this->sessions.erase(connection);
    for (auto &[key, transaction] : this->transactions) {
        if (transaction.connection == connection)
            this->endTransaction(key);
    }
}

void RequestRouter::updateLoad(const GroupId &group, const InstanceId &holder,
                               const HolderLoad &load)
{
    this->holderSelector.updateLoad(group, holder, load);
}

void RequestRouter::drain(TimePoint)
{
    this->draining = true;
    for (const auto &[connection, session] : this->sessions)
        this->hooks.answerCaller(connection, MoveSession{});
}

void RequestRouter::openSession(CallerConnectionId connection, const OpenSession &message)
{
    if (this->draining) {
        this->hooks.answerCaller(connection, MoveSession{});
        return;
    }
    CallerSession &session = this->sessions[connection];
    session.caller = message.caller;
    session.session = message.session;
    if (session.session.empty()) {
        session.session = SessionId(
            this->settings.instance.value + "-" + hexadecimal(this->settings.incarnation) + "-"
            + std::to_string(++this->lastSession) + "-" + hexadecimal(this->random()));
    }
    this->hooks.answerCaller(connection, SessionOpened{session.session, this->settings.instance});
}

void RequestRouter::handleRequest(CallerConnectionId connection, const CallerRequest &message,
                                  TimePoint now)
{
    ++this->totals.requests;
    if (this->handleDuplicate(connection, message))
        return;
    const Reason refusal = this->refusalReason(connection, message, now);
    if (refusal != Reason::None) {
        if (refusal == Reason::Draining)
            this->hooks.answerCaller(connection, MoveSession{});
        const CallerAnswer answer = makeAnswer(message, Outcome::NotRun, refusal);
        this->count(answer);
        this->hooks.answerCaller(connection, answer);
        return;
    }
    const RequestKey key = keyOf(message);
    RoutedRequest &routed = this->requests[key];
    routed.connection = connection;
    routed.request = message;
    // The caller id comes from the session, because holders queue fairly by caller and a request
    // must not be able to claim another caller's share.
    routed.request.caller = this->sessions.at(connection).caller;
    routed.deadline = now + std::min(message.timeLeft, this->settings.maxTimeLeft);
    this->deadlines.emplace(routed.deadline, key);
    this->send(key, now);
}

bool RequestRouter::handleDuplicate(CallerConnectionId connection, const CallerRequest &message)
{
    const auto found = this->requests.find(keyOf(message));
    if (found == this->requests.end())
        return false;
    const auto session = this->sessions.find(connection);
    const bool isOwner =
        session != this->sessions.end() && session->second.session == message.session;
    if (isOwner && isSameRequest(found->second.request, message)) {
        // The caller reconnected and repeated the request: the answer goes to the new connection.
        found->second.connection = connection;
        return true;
    }
    const CallerAnswer answer = makeAnswer(message, Outcome::NotRun, Reason::DuplicateRequestId);
    this->count(answer);
    this->hooks.answerCaller(connection, answer);
    return true;
}

Reason RequestRouter::refusalReason(CallerConnectionId connection, const CallerRequest &message,
                                    TimePoint now)
{
    const auto session = this->sessions.find(connection);
    const bool isOwner = session != this->sessions.end() && !message.session.empty()
                         && session->second.session == message.session;
    if (!isOwner || message.requestId == 0)
        return Reason::Malformed;
    if (message.timeLeft <= Duration{0})
        return Reason::DeadlinePassed;
    if (now >= this->leaseEnd)
        return Reason::NoCurrentView;
    if (this->groupOf(message) == nullptr)
        return Reason::UnknownGroup;
    const bool isInTransaction = message.transaction != 0 && message.kind != RequestKind::Begin
                                 && message.kind != RequestKind::AskOutcome;
    if (isInTransaction)
        return this->transactionRefusalReason(connection, message);
    if (message.kind == RequestKind::Commit || message.kind == RequestKind::Rollback)
        return Reason::Malformed;
    if (this->draining)
        return Reason::Draining;
    if (this->requests.size() >= this->settings.inFlightLimit)
        return Reason::Overloaded;
    return Reason::None;
}

Reason RequestRouter::transactionRefusalReason(CallerConnectionId connection,
                                               const CallerRequest &message)
{
    const RequestKey key{message.session, message.transaction};
    const auto open = this->transactions.find(key);
    if (open != this->transactions.end() && open->second.connection == connection)
        return open->second.hasEnded ? Reason::TransactionEnded : Reason::None;
    // A transaction is bound to the connection on which it was begun, so the moved caller's
    // transaction is aborted.
    if (open != this->transactions.end()) {
        this->endTransaction(key);
        return Reason::TransactionElsewhere;
    }
    const EndTransaction end{message.group, message.session, message.transaction};
    for (const HolderView &holder : this->groupOf(message)->holders)
        this->hooks.sendHolder(holder.proxy, holder.address, end);
    return Reason::TransactionElsewhere;
}

void RequestRouter::count(const CallerAnswer &answer)
{
    switch (answer.outcome) {
    case Outcome::Ok:
        ++this->totals.answersOk;
        break;
    case Outcome::NotRun:
        ++this->totals.answersNotRun;
        break;
    case Outcome::Failed:
        ++this->totals.answersFailed;
        break;
    case Outcome::OutcomeUnknown:
        ++this->totals.answersUnknown;
        break;
    }
    if (answer.reason == Reason::Overloaded)
        ++this->totals.refusedOverloaded;
}

} // namespace rhubarbweir
