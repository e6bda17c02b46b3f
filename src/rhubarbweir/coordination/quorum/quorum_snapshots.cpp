// See quorum_log.hpp. This file: creating, sending and installing snapshots.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace rhubarbweir {

void QuorumLog::snapshotIfDue()
{
    const std::uint64_t last = this->snapshot ? this->snapshot->index : 0;
    const std::size_t lastBytes = this->snapshot ? this->snapshot->state.bytes.size() : 0;
    const bool isLogLarge = this->loggedBytes >= std::max(this->settings.snapshotBytes, lastBytes);
    if (this->applied == last
        || (!isLogLarge && this->applied < last + this->settings.snapshotInterval))
        return;
    QuorumSnapshot created;
    created.index = this->applied;
    created.term = *this->entries.termAt(created.index);
    created.membership = this->entries.membershipAt(created.index);
    created.state.bytes = this->hooks.makeSnapshot();
    this->persistence.setSnapshot(created, false);
    this->entries.dropUpTo(this->entries.trailingFrom(created.index, this->settings.trailingEntries,
                                                      this->settings.trailingBytes)
                           - 1);
    this->loggedBytes = this->entries.bytesAfter(created.index);
    this->snapshot = std::move(created);
    this->emitEvent("quorum_snapshot_created",
                    {{"index", absl::StrCat(this->snapshot->index)},
                     {"bytes", absl::StrCat(this->snapshot->state.bytes.size())},
                     {"entries", absl::StrCat(this->snapshot->index - last)},
                     {"cause", isLogLarge ? "bytes" : "entries"}});
}

void QuorumLog::sendChunk(MemberProgress &progress)
{
    if (progress.snapshotIndex != this->snapshot->index) {
        progress.snapshotIndex = this->snapshot->index;
        progress.snapshotOffset = 0;
    }
    const std::string &state = this->snapshot->state.bytes;
    QuorumSnapshotChunk chunk;
    chunk.header = this->header(progress.member.incarnation);
    chunk.sequence = this->nextSequence();
    chunk.index = this->snapshot->index;
    chunk.indexTerm = this->snapshot->term;
    chunk.membership = this->snapshot->membership;
    chunk.offset = progress.snapshotOffset;
    chunk.bytes.bytes = state.substr(chunk.offset, this->settings.snapshotChunkBytes);
    chunk.last = chunk.offset + chunk.bytes.bytes.size() == state.size();
    progress.resendAt = this->currentTime + this->settings.electionTimeoutMax;
    this->hooks.send(progress.member.peer.instance, chunk);
}

void QuorumLog::handle(const InstanceId &from, const QuorumSnapshotChunk &chunk)
{
    if (chunk.header.term < this->term()) {
        this->answerChunk(from, chunk, 0);
        return;
    }
    this->followLeader(from, chunk.header);
    if (chunk.index <= this->committed) {
        this->answerAppend(from, chunk.header, chunk.sequence, true, chunk.index);
        return;
    }
    const bool continues = this->incomingSnapshot && this->incomingSnapshot->index == chunk.index
                           && this->incomingSnapshot->leaderTerm == chunk.header.term;
    if (!continues)
        this->incomingSnapshot = IncomingSnapshot{chunk.index, chunk.header.term, {}};
    if (this->incomingSnapshot->bytes.size() != chunk.offset) {
        this->answerChunk(from, chunk, this->incomingSnapshot->bytes.size());
        return;
    }
    this->incomingSnapshot->bytes += chunk.bytes.bytes;
    if (!chunk.last) {
        this->answerChunk(from, chunk, this->incomingSnapshot->bytes.size());
        return;
    }
    QuorumSnapshot received{chunk.index, chunk.indexTerm, chunk.membership,
                            OpaqueBytes(std::move(this->incomingSnapshot->bytes))};
    this->incomingSnapshot.reset();
    this->adoptCluster(chunk.header.clusterId);
    this->installSnapshot(std::move(received));
    this->answerAppend(from, chunk.header, chunk.sequence, true, chunk.index);
}

void QuorumLog::handle(const InstanceId &from, const QuorumSnapshotAnswer &answer)
{
    MemberProgress *progress = this->recordAnswer(from, answer.header, answer.sequence);
    if (progress == nullptr || progress->snapshotIndex != answer.index)
        return;
    if (answer.nextOffset == progress->snapshotOffset || !this->snapshot)
        return;
    if (answer.nextOffset > this->snapshot->state.bytes.size())
        return;
    progress->snapshotOffset = answer.nextOffset;
    this->sendChunk(*progress);
}

void QuorumLog::answerChunk(const InstanceId &to, const QuorumSnapshotChunk &chunk,
                            std::uint64_t nextOffset)
{
    QuorumSnapshotAnswer answer;
    answer.header = this->header(chunk.header.fromIncarnation);
    answer.sequence = chunk.sequence;
    answer.index = chunk.index;
    answer.nextOffset = nextOffset;
    this->sendAfterSync(to, answer);
}

void QuorumLog::installSnapshot(QuorumSnapshot received)
{
    // If the log contains the last entry of the snapshot, later entries are kept. Otherwise the log
    // diverges from the snapshot and is discarded.
    const bool keepsTail = this->entries.termAt(received.index) == received.term;
    if (keepsTail) {
        this->entries.dropUpTo(received.index);
    } else {
        this->entries.reset(received.index, received.term, received.membership);
        this->durable = 0;
    }
    this->loggedBytes = this->entries.bytesAfter(received.index);
    this->committed = received.index;
    this->applied = received.index;
    this->currentRole = QuorumRole::Follower;
    this->persistence.setSnapshot(received, !keepsTail);
    this->hooks.restoreSnapshot(received.state.bytes, received.index);
    this->emitEvent("quorum_snapshot_installed",
                    {{"index", absl::StrCat(received.index)},
                     {"bytes", absl::StrCat(received.state.bytes.size())}});
    this->snapshot = std::move(received);
}

} // namespace rhubarbweir
