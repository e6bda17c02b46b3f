// The files of one quorum log instance: a record log and a snapshot, in one folder.
//
// `log-N` is a sequence of records {length, check of the length, checksum of the body, body}; the
// first record names the snapshot `snapshot-N` that the entries follow. A new snapshot starts a new
// pair of files, written under a temporary name, synced and renamed; the old pair is then removed.
//
// A crash can leave an incomplete record, or zeros, at the end of the log: that tail was never
// synced and is cut. Anything else that does not fit its checksum is damage.
#pragma once

#include "rhubarbweir/coordination/quorum/quorum_storage.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace rhubarbweir {

class QuorumStore
{
public:
    explicit QuorumStore(std::shared_ptr<StorageFolder> folder);

    // First call. Errors: DataLoss for damage, otherwise those of the folder.
    absl::StatusOr<RecoveredState> load();
    // Writes and syncs a batch. After an error nothing more may be written: what is on the disk is
    // unknown until the next load(). Errors: those of the folder, FailedPrecondition after an
    // error.
    absl::Status write(const PersistBatch &batch);
    // Removes all files, after DataLoss: the instance then starts as a new incarnation.
    absl::Status reset();

private:
    absl::Status appendBatch(const PersistBatch &batch);
    absl::Status startGeneration(const PersistBatch &batch);
    absl::Status writeWhole(const std::string &name, const std::string &bytes);
    absl::Status removeOthers();
    void updateTail(const PersistBatch &batch);
    absl::StatusOr<RecoveredState> loadGeneration();
    std::string logName() const;
    std::string snapshotName() const;

    std::shared_ptr<StorageFolder> folder;
    // Number of the current pair of files; 0 before the first write.
    std::uint64_t generation = 0;
    QuorumHardState hardState;
    // Whether the current generation has a snapshot file, and its last index.
    bool hasSnapshot = false;
    std::uint64_t snapshotIndex = 0;
    // Encoded entries behind the snapshot, with their indexes.
    std::deque<std::pair<std::uint64_t, std::string>> tail;
    bool failed = false;
};

} // namespace rhubarbweir
