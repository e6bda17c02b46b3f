// Measures the commit rate and latency of three quorum logs in one process, with real files and
// fsync. Messages are delivered in memory, and each instance writes on its own thread.
//
// Usage: quorum_appends FOLDER SECONDS OUTSTANDING PAYLOAD_BYTES
// OUTSTANDING is the number of proposals that wait for their commit at a time. With 1, every entry
// is written in its own batch.
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
    // Time from proposal to commit in milliseconds.
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
    Cluster(const std::string &folder, std::size_t givenLimit, std::size_t payloadBytes)
        : outstandingLimit(givenLimit)
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

    // Runs the cluster for 2 s of warm-up and then `runDuration`; the counters cover `runDuration`
    // only.
    void run(std::chrono::seconds runDuration)
    {
        for (auto &instance : this->instances) {
            instance->diskThread = std::thread([disk = &instance->disk] { disk->run(); });
            instance->log->start(*instance->store->load(), EventLoop::now());
        }
        this->loop.every(5ms, [this] { this->advance(); });
        this->loop.schedule(EventLoop::now() + 2s, [this] { this->counters = {}; });
        this->loop.schedule(EventLoop::now() + 2s + runDuration, [this] { this->loop.stop(); });
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
            const std::chrono::duration<double, std::milli> latency =
                EventLoop::now() - proposed->second;
            this->counters.latencies.push_back(latency.count());
            ++this->counters.committed;
            this->proposedAt.erase(proposed);
            this->loop.post([this] { this->fillOutstanding(); });
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
        this->fillOutstanding();
    }

    void fillOutstanding()
    {
        for (auto &instance : this->instances) {
            while (instance->log->isLeader() && this->proposedAt.size() < this->outstandingLimit) {
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
    std::size_t outstandingLimit;
    std::string payload;
};

double quantile(std::vector<double> &sorted, double probability)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1))];
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: quorum_appends FOLDER SECONDS OUTSTANDING PAYLOAD_BYTES\n");
        return 2;
    }
    const std::chrono::seconds runDuration(std::stol(argv[2]));
    Cluster cluster(argv[1], std::stoul(argv[3]), std::stoul(argv[4]));
    cluster.run(runDuration);
    Counters &counters = cluster.counters;
    std::sort(counters.latencies.begin(), counters.latencies.end());
    const auto seconds = static_cast<double>(runDuration.count());
    std::printf("commits_per_s=%.0f batches_per_s=%.0f p50_ms=%.2f p99_ms=%.2f\n",
                static_cast<double>(counters.committed) / seconds,
                static_cast<double>(counters.batches) / seconds, quantile(counters.latencies, 0.5),
                quantile(counters.latencies, 0.99));
    return 0;
}
