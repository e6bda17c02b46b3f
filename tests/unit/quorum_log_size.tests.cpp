// Tests of the size of the quorum log on disk and of starts from a folder that is nearly full.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"
#include "rhubarbweir/transport/quorum_store.hpp"
#include "unit/support/fake_folder.hpp"

#include <criterion/criterion.h>

using namespace rhubarbweir;

namespace {

constexpr std::size_t MiB = 1024 * 1024;
constexpr std::size_t DiskBytes = 64 * MiB;

// A cluster of one instance, whose state is its last payload.
class SingleInstance
{
public:
    explicit SingleInstance(std::shared_ptr<FakeFolder> dataFolder)
        : folder(std::move(dataFolder))
        , store(this->folder)
    {
        QuorumSettings settings;
        settings.self = {InstanceId("c1"), "c1", {}};
        settings.initialVoters = {settings.self};
        settings.bootstrap = true;
        this->log = std::make_unique<QuorumLog>(settings, this->hooks(), std::mt19937_64(1));
        auto recovered = this->store.load();
        cr_assert(recovered.ok());
        this->log->start(*std::move(recovered), this->now);
        for (int step = 0; step < 100 && !this->log->leaseValid(this->now); ++step) {
            this->now += std::chrono::milliseconds(20);
            this->log->advance(this->now);
        }
    }

    bool commit(const std::string &payload)
    {
        this->now += std::chrono::milliseconds(20);
        const auto index = this->log->propose(payload, this->now);
        this->largestFolder = std::max(this->largestFolder, this->folder->usedBytes());
        return index.ok() && this->log->appliedIndex() >= *index;
    }

    std::shared_ptr<FakeFolder> folder;
    QuorumStore store;
    std::unique_ptr<QuorumLog> log;
    TimePoint now = TimePoint(std::chrono::seconds(1000));
    std::string state;
    std::size_t largestFolder = 0;

private:
    QuorumHooks hooks()
    {
        QuorumHooks hooks;
        hooks.send = [](const InstanceId &, const QuorumMessage &) {
        };
        hooks.persist = [this](const PersistBatch &batch) {
            if (this->store.write(batch).ok())
                this->log->persisted(batch.token, this->now);
            else
                this->log->persistFailed(batch.token, this->now);
            this->largestFolder = std::max(this->largestFolder, this->folder->usedBytes());
        };
        hooks.apply = [this](std::uint64_t, const std::string &payload) {
            this->state = payload;
        };
        hooks.makeSnapshot = [this] {
            return this->state;
        };
        hooks.restoreSnapshot = [this](const std::string &restored, std::uint64_t) {
            this->state = restored;
        };
        return hooks;
    }
};

// A configuration of the largest size that operators send.
std::string largeDocument(unsigned version)
{
    std::string document = "version " + std::to_string(version) + "\n";
    for (unsigned route = 0; document.size() < 256 * 1024; ++route)
        document += "{\"name\":\"r-" + std::to_string(route * 7919U + version) + "\"},\n";
    return document;
}

// What instances left behind that cut the log by the number of its entries alone.
std::shared_ptr<FakeFolder> fullFolder()
{
    const auto folder = std::make_shared<FakeFolder>();
    {
        SingleInstance first(folder);
        cr_assert(first.commit("first"));
    }
    QuorumStore store(folder);
    auto recovered = store.load();
    cr_assert(recovered.ok());
    QuorumEntry entry = recovered->entries.back();
    while (folder->usedBytes() < DiskBytes) {
        PersistBatch batch;
        ++entry.index;
        entry.kind = EntryKind::Payload;
        entry.payload.bytes = largeDocument(static_cast<unsigned>(entry.index));
        batch.entries.push_back(entry);
        cr_assert(store.write(batch).ok());
    }
    // The last write is cut off where the disk ends.
    const std::size_t logBytes = folder->read("log-1")->size();
    cr_assert(folder->truncate("log-1", logBytes - (folder->usedBytes() - DiskBytes)).ok());
    folder->capacity = DiskBytes;
    return folder;
}

} // namespace

// Guards against hundreds of large changes that fill the disks of all control instances at once.
Test(quorum_log_size, bounded, .description = "hundreds of large changes leave most of a disk free")
{
    SingleInstance instance(std::make_shared<FakeFolder>());
    for (unsigned version = 1; version <= 600; ++version)
        cr_assert(instance.commit(largeDocument(version)), "version %u", version);
    cr_assert_lt(instance.largestFolder, DiskBytes / 4);
    SingleInstance restarted(instance.folder);
    cr_assert_eq(restarted.state, largeDocument(600));
}

Test(quorum_log_size, small_entries,
     .description = "small changes are compacted by their number, not earlier")
{
    SingleInstance instance(std::make_shared<FakeFolder>());
    for (unsigned version = 1; version <= 900; ++version)
        cr_assert(instance.commit("change " + std::to_string(version)));
    cr_assert(instance.folder->read("log-1").ok());
    for (unsigned version = 901; version <= 1100; ++version)
        cr_assert(instance.commit("change " + std::to_string(version)));
    cr_assert(instance.folder->read("log-2").ok());
}

// Guards against instances that end at every start, as the log that they left fills the disk.
Test(quorum_log_size, start_from_a_full_folder,
     .description = "an instance whose log filled its disk compacts it after the start")
{
    const auto folder = fullFolder();
    cr_assert_eq(folder->usedBytes(), DiskBytes);
    SingleInstance restarted(folder);
    cr_assert_neq(restarted.log->role(), QuorumRole::Stopped);
    cr_assert(restarted.commit(largeDocument(1000)));
    cr_assert_lt(folder->usedBytes(), DiskBytes / 4);
    cr_assert_eq(restarted.state, largeDocument(1000));
}
