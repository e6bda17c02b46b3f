// A forwarded request on the holder side, from admission to its answer.
#pragma once

#include "rhubarbweir/coordination/proxy/admission_queue.hpp"
#include "rhubarbweir/coordination/proxy/peer_messages.hpp"
#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"

#include <optional>

namespace rhubarbweir {

enum class RequestStage {
    // In an AdmissionQueue, or behind another statement of its transaction.
    Queued,
    // A statement was sent; the reply is outstanding.
    Running,
    // Executed; waits until a majority of the group holds it.
    Confirming,
};

struct PendingRequest
{
    Ticket ticket = 0;
    // The proxy that forwarded the request; this proxy itself for its own callers.
    InstanceId entryProxy;
    std::uint64_t forwardId = 0;
    CallerRequest request;
    TimePoint arrivedAt;
    TimePoint deadline;
    RequestStage stage = RequestStage::Queued;
    // The next statement queries the outcome instead of executing the request.
    bool asksOutcome = false;
    // A statement with unknown effect was sent; from then on only Reason::Sealed proves NotRun.
    bool mayHaveRun = false;
    // A read that runs on the primary because no replica could serve it.
    bool isFallback = false;
    // Set while Running.
    Generation generation = 0;
    TimePoint sentAt;
    // Earliest time of the next dispatch.
    TimePoint notBefore;
    // Term of the last statement.
    std::uint64_t term = 0;
    std::uint32_t attempts = 0;
    // Read index of a latest read: covers every write confirmed before the read arrived.
    std::optional<LogPosition> index;
    // Sent once the request is confirmed; set while Confirming.
    CallerAnswer answer;

    bool isRead() const { return this->request.kind == RequestKind::Read; }
    // Whether it runs on the connection of an open transaction; an outcome query does not.
    bool isInTransaction() const
    {
        return this->request.transaction != 0 && this->request.kind != RequestKind::Begin
               && !this->asksOutcome;
    }
    RequestKey transactionKey() const
    {
        const bool isBegin = this->request.kind == RequestKind::Begin;
        return {this->request.session,
                isBegin ? this->request.requestId : this->request.transaction};
    }
};

// Builds the next statement of `pending`. `minimum` applies to reads only; `term` is 0 for a read
// on a replica.
Statement makeStatement(const PendingRequest &pending, Generation generation, std::uint64_t term,
                        const LogPosition &minimum, TimePoint now);
// Builds an answer with the ids, group, key and token of `request`.
CallerAnswer makeAnswer(const CallerRequest &request, Outcome outcome, Reason reason);
// Replaces NotRun by OutcomeUnknown if the request may have run and is not sealed.
void replaceUnprovenNotRun(CallerAnswer &answer, bool mayHaveRun);

} // namespace rhubarbweir
