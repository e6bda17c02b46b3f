// Writes of a client, and the check of LOST: where the service has sync_replicas, each commit that
// was acknowledged before a promotion takes effect is in the log of the promoted database.
#pragma once

#include "standins.hpp"

namespace review {

class WriteLoad
{
public:
    WriteLoad(Record &runRecord, const Address &pooler, Group &ofGroup)
        : record(runRecord)
        , group(ofGroup)
        , front(pooler)
    {
        if (this->group.syncReplicas > 0)
            this->group.onPromoted = [this](Database &chosen) {
                this->check(chosen);
            };
        this->writer = std::thread([this] { this->run(); });
    }
    ~WriteLoad()
    {
        this->isEnding = true;
        this->writer.join();
        const std::lock_guard<std::mutex> lock(this->group.mutex);
        this->group.onPromoted = nullptr;
    }

    // The primary crashes while `deaf` receives nothing for 6 s. The result of the script.
    int crashWhileDeaf(Database &primary, Database &deaf)
    {
        {
            const std::lock_guard<std::mutex> lock(this->group.mutex);
            deaf.isDeaf = true;
        }
        this->record.add("database " + deaf.id + ": receives nothing from now on");
        pause(seconds(2));
        this->record.add("database " + primary.id + ": crashes");
        primary.stop();
        pause(seconds(4));
        {
            const std::lock_guard<std::mutex> lock(this->group.mutex);
            deaf.isDeaf = false;
            this->group.replicate();
        }
        this->record.add("database " + deaf.id + ": receives again");
        for (int waited = 0; waited < 200 && this->missing < 0; ++waited)
            pause(milliseconds(100));
        pause(seconds(1));
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->record.add("client: " + std::to_string(this->acknowledged.size()) + " of "
                             + std::to_string(this->tried) + " writes were acknowledged");
        }
        if (this->missing < 0) {
            this->record.add("result: nothing was promoted");
            return 2;
        }
        this->record.add(this->missing > 0 ? "result: LOST is broken" : "result: LOST is kept");
        return this->missing > 0 ? 1 : 0;
    }

    // Items whose write was acknowledged.
    std::set<std::string> acknowledgedItems()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->acknowledged;
    }

private:
    void check(Database &chosen)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::set<std::string> held;
        for (const Commit &each : chosen.log) {
            for (const auto &[item, data] : each.writes)
                held.insert(item);
        }
        int count = 0;
        std::string first;
        for (const std::string &item : this->acknowledged) {
            if (held.count(item) != 0)
                continue;
            ++count;
            first = first.empty() ? ", such as " + item : first;
        }
        this->record.add("check: " + std::to_string(this->acknowledged.size())
                         + " writes were acknowledged; " + std::to_string(count)
                         + " of them are not in the log of " + chosen.id + first);
        this->missing = std::max(this->missing.load(), count);
    }

    void run()
    {
        std::unique_ptr<Session> session;
        for (unsigned number = 0; !this->isEnding; ++number) {
            if (!session)
                session = std::make_unique<Session>(this->front, "db1", milliseconds(2000));
            const std::string item = "k" + std::to_string(number);
            const std::string text = "WRITE " + item + " v" + std::to_string(number);
            const Answer answer = session->isOpen()
                                      ? session->query("w" + std::to_string(number), text)
                                      : Answer{};
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                ++this->tried;
                if (answer.isSuccess())
                    this->acknowledged.insert(item);
            }
            this->record.add("client: sends " + text + ", is answered "
                             + (answer.outcome.empty() ? "nothing"
                                                       : answer.outcome + " " + answer.detail));
            if (!answer.isSuccess())
                session.reset();
            pause(milliseconds(answer.isSuccess() ? 25 : 100));
        }
    }

    Record &record;
    Group &group;
    const Address front;
    std::mutex mutex;
    std::set<std::string> acknowledged;
    unsigned long tried = 0;
    std::atomic<int> missing{-1};
    std::atomic<bool> isEnding{false};
    std::thread writer;
};

} // namespace review
