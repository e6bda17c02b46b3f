// The disk thread of a control instance: writes and syncs batches in order.
#pragma once

#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/quorum_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace rhubarbweir {

class DiskWriter
{
public:
    using Done = std::function<void(const absl::Status &)>;

    DiskWriter() = default;
    // Finishes the batch in progress and ends the thread.
    ~DiskWriter();
    DiskWriter(const DiskWriter &) = delete;
    DiskWriter &operator=(const DiskWriter &) = delete;

    // Must be called first. Empties a damaged folder, so that the instance rejoins as a new
    // incarnation. May be called again after an error.
    // Errors: Unavailable when the folder cannot be opened or is locked by another process,
    // ResourceExhausted when the disk is full. Throws std::system_error without a thread.
    absl::StatusOr<RecoveredState> open(const std::string &folder);
    // `done` runs on the disk thread. While the disk is full the batch is tried again.
    void persist(const PersistBatch &batch, Done done);

private:
    void write(const std::shared_ptr<const PersistBatch> &batch, const Done &done);

    EventLoop loop;
    std::unique_ptr<QuorumStore> store;
    // Since when writes have failed because the disk is full. Only on the disk thread.
    std::optional<TimePoint> fullSince;
    std::thread thread;
};

} // namespace rhubarbweir
