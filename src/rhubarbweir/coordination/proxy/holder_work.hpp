// One forwarded request on the holder side, from admission to its answer.
#pragma once

#include "rhubarbweir/coordination/proxy/admission_queue.hpp"
#include "rhubarbweir/coordination/proxy/peer_messages.hpp"
#include "rhubarbweir/coordination/proxy/proxy_settings.hpp"

#include <optional>

namespace rhubarbweir {

enum class WorkStage {
    // In an AdmissionQueue, or waiting for its turn in a transaction.
    Queued,
    // A statement was sent and its reply is awaited.
    Running,
    // Ran; a majority of the group has to hold it.
    Confirming,
};

struct HolderWork
{
    Ticket ticket = 0;
    // The proxy that forwarded the request; this one for its own callers.
    InstanceId entry;
    std::uint64_t forwardId = 0;
    CallerRequest request;
    TimePoint arrivedAt;
    TimePoint deadline;
    WorkStage stage = WorkStage::Queued;
    // The next statement asks for the outcome instead of running the request.
    bool asksOutcome = false;
    // A statement was sent whose effect is not known; only a sealed id is NotRun from then on.
    bool mayHaveRun = false;
    // A read that the primary serves because no replica could.
    bool isFallback = false;
    // Set while Running.
    Generation generation = 0;
    TimePoint sentAt;
    // Not dispatched before.
    TimePoint notBefore;
    // Term of the last statement.
    std::uint64_t term = 0;
    std::uint32_t attempts = 0;
    // For a latest read: position that covers every write confirmed before it arrived.
    std::optional<LogPosition> index;
    // Answer in preparation while Confirming.
    CallerAnswer answer;

    bool isRead() const { return this->request.kind == RequestKind::Read; }
    // Runs on the connection of an open transaction; an outcome query does not.
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

// The statement that `work` needs next. `minimum` is for reads; a replica takes term 0.
Statement makeStatement(const HolderWork &work, Generation generation, std::uint64_t term,
                        const LogPosition &minimum, TimePoint now);
// An answer to `request` with its identity filled in.
CallerAnswer makeAnswer(const CallerRequest &request, Outcome outcome, Reason reason);
// NotRun stays only where it is true: for work that may have run, just Sealed proves it.
void makeTruthful(CallerAnswer &answer, bool mayHaveRun);

} // namespace rhubarbweir
