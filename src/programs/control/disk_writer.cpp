// See disk_writer.hpp.
#include "programs/control/disk_writer.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/file_storage.hpp"

#include <utility>

namespace rhubarbweir {

namespace {

constexpr std::chrono::milliseconds FullDiskRetryInterval{200};

} // namespace

DiskWriter::~DiskWriter()
{
    this->loop.stop();
    if (this->thread.joinable())
        this->thread.join();
}

absl::StatusOr<RecoveredState> DiskWriter::open(const std::string &folder)
{
    // The lock of a previous attempt.
    this->store.reset();
    auto files = FileStorage::open(folder);
    if (!files.ok())
        return files.status();
    this->store = std::make_unique<QuorumStore>(*files);
    auto recovered = this->store->load();
    if (absl::IsDataLoss(recovered.status())) {
        logEvent(LogLevel::Error, "data_folder_damaged",
                 {{"cause", recovered.status().ToString()},
                  {"action", "emptied; rejoins as a new incarnation"}});
        const absl::Status emptied = this->store->reset();
        if (!emptied.ok())
            return emptied;
        recovered = RecoveredState{};
    }
    if (recovered.ok())
        this->thread = std::thread([this] { this->loop.run(); });
    return recovered;
}

void DiskWriter::persist(const PersistBatch &batch, Done done)
{
    this->loop.post([this, shared = std::make_shared<const PersistBatch>(batch),
                     done = std::move(done)] { this->write(shared, done); });
}

void DiskWriter::write(const std::shared_ptr<const PersistBatch> &batch, const Done &done)
{
    const absl::Status written = this->store->write(*batch);
    const TimePoint now = EventLoop::now();
    if (absl::IsResourceExhausted(written)) {
        if (!this->fullSince)
            logEvent(LogLevel::Error, "disk_full",
                     {{"cause", written.ToString()},
                      {"entries", static_cast<std::int64_t>(batch->entries.size())},
                      {"action", "changes wait until there is room"}});
        this->fullSince = this->fullSince.value_or(now);
        this->loop.schedule(now + FullDiskRetryInterval,
                            [this, batch, done] { this->write(batch, done); });
        return;
    }
    if (this->fullSince) {
        const auto fullFor =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->fullSince);
        logEvent(LogLevel::Info, "disk_has_room",
                 {{"full_ms", static_cast<std::int64_t>(fullFor.count())},
                  {"status", written.ToString()}});
        this->fullSince.reset();
    }
    done(written);
}

} // namespace rhubarbweir
