// Rate of commits of three quorum logs in one process, with real files and syncs.
//
// Messages are handed over without a network; each instance writes on a thread of its own.
// Usage: quorum_appends FOLDER SECONDS OUTSTANDING PAYLOAD_BYTES
// OUTSTANDING proposals are kept waiting for their commit: 1 gives every entry a batch of its own.
#include "rhubarbweir/coordination/quorum/quorum_log.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/file_storage.hpp"
#include "rhubarbweir/transport/quorum_store.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace rhubarbweir;
using namespace std::chrono_literals;

struct Counters
{
    std::uint64_t batches = 0;
    std::uint64_t committed = 0;
    std::vector<double> latencies;
};

struct Instance
{
    QuorumPeer peer;
    std::unique_ptr<QuorumStore> store;
    std::unique_ptr<QuorumLog> log;
    EventLoop disk;
    std::thread diskThread;
};

class Cluster
{
public:
    Cluster(const std::string &folder, std::size_t outstandingLimit, std::size_t payloadBytes)
        : limit(outstandingLimit)
        , payload(payloadBytes, 'x')
    {
        QuorumSettings settings;
        for (int number = 0; number < 3; ++number) {
            const InstanceId name("control-" + std::to_string(number));
            settings.initialVoters.push_back({name, {}, FailureDomainId("domain")});
        }
        settings.bootstrap = true;
        for (const QuorumPeer &peer : settings.initialVoters) {
            auto instance = std::make_unique<Instance>();
            instance->peer = peer;
            auto files = FileStorage::open(folder + "/" + peer.instance.value);
            instance->store = std::make_unique<QuorumStore>(*files);
            settings.self = peer;
            instance->log = std::make_unique<QuorumLog>(settings, this->hooksFor(*instance),
                                                        std::mt19937_64(this->instances.size()));
            this->instances.push_back(std::move(instance));
        }
    }

    void run(std::chrono::seconds length)
    {
        for (auto &instance : this->instances) {
            instance->diskThread = std::thread([disk = &instance->disk] { disk->run(); });
            instance->log->start(*instance->store->load(), EventLoop::now());
        }
        this->loop.every(5ms, [this] { this->advance(); });
        this->loop.schedule(EventLoop::now() + 2s, [this] { this->counters = {}; });
        this->loop.schedule(EventLoop::now() + 2s + length, [this] { this->loop.stop(); });
        this->loop.run();
        for (auto &instance : this->instances) {
            instance->disk.stop();
            instance->diskThread.join();
        }
    }

    Counters counters;

private:
    QuorumHooks hooksFor(Instance &instance)
    {
        QuorumHooks hooks;
        hooks.send = [this, from = instance.peer.instance](const InstanceId &to,
                                                           const QuorumMessage &message) {
            this->loop.post([this, from, to, message] { this->deliver(from, to, message); });
        };
        hooks.persist = [this, &instance](const PersistBatch &batch) {
            ++this->counters.batches;
            instance.disk.post([this, &instance, batch] {
                const bool written = instance.store->write(batch).ok();
                this->loop.post([&instance, token = batch.token, written] {
                    if (written)
                        instance.log->persisted(token, EventLoop::now());
                    else
                        instance.log->persistFailed(token, EventLoop::now());
                });
            });
        };
        hooks.apply = [this, &instance](std::uint64_t index, const std::string &) {
            if (!instance.log->isLeader())
                return;
            const auto proposed = this->proposedAt.find(index);
            if (proposed == this->proposedAt.end())
                return;
            const std::chrono::duration<double, std::milli> waited =
                EventLoop::now() - proposed->second;
            this->counters.latencies.push_back(waited.count());
            ++this->counters.committed;
            this->proposedAt.erase(proposed);
            this->loop.post([this] { this->proposeAll(); });
        };
        hooks.makeSnapshot = [] {
            return std::string("state");
        };
        hooks.restoreSnapshot = [](const std::string &, std::uint64_t) {
        };
        return hooks;
    }

    void deliver(const InstanceId &from, const InstanceId &to, const QuorumMessage &message)
    {
        for (auto &instance : this->instances) {
            if (instance->peer.instance == to)
                instance->log->receive(from, message, EventLoop::now());
        }
    }

    void advance()
    {
        for (auto &instance : this->instances)
            instance->log->advance(EventLoop::now());
        this->proposeAll();
    }

    void proposeAll()
    {
        for (auto &instance : this->instances) {
            while (instance->log->isLeader() && this->proposedAt.size() < this->limit) {
                const TimePoint now = EventLoop::now();
                const auto index = instance->log->propose(this->payload, now);
                if (!index.ok())
                    return;
                this->proposedAt[*index] = now;
            }
        }
    }

    EventLoop loop;
    std::vector<std::unique_ptr<Instance>> instances;
    std::map<std::uint64_t, TimePoint> proposedAt;
    std::size_t limit;
    std::string payload;
};

double share(std::vector<double> &sorted, double part)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: quorum_appends FOLDER SECONDS OUTSTANDING PAYLOAD_BYTES\n");
        return 2;
    }
    const std::chrono::seconds length(std::stol(argv[2]));
    Cluster cluster(argv[1], std::stoul(argv[3]), std::stoul(argv[4]));
    cluster.run(length);
    Counters &counters = cluster.counters;
    std::sort(counters.latencies.begin(), counters.latencies.end());
    const auto seconds = static_cast<double>(length.count());
    std::printf("commits_per_s=%.0f batches_per_s=%.0f p50_ms=%.2f p99_ms=%.2f\n",
                static_cast<double>(counters.committed) / seconds,
                static_cast<double>(counters.batches) / seconds, share(counters.latencies, 0.5),
                share(counters.latencies, 0.99));
    return 0;
}
