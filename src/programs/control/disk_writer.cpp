// See disk_writer.hpp.
#include "programs/control/disk_writer.hpp"

#include "programs/support/event_log.hpp"
#include "rhubarbweir/transport/file_storage.hpp"

#include <utility>

namespace rhubarbweir {

DiskWriter::~DiskWriter()
{
    this->loop.stop();
    if (this->thread.joinable())
        this->thread.join();
}

absl::StatusOr<RecoveredState> DiskWriter::open(const std::string &folder)
{
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
    this->loop.post([this, batch, done = std::move(done)] { done(this->store->write(batch)); });
}

} // namespace rhubarbweir
