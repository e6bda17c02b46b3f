// Case 5: sync_replicas is 1. One replica is draining, the other receives nothing, and the primary
// crashes. The database that is promoted lacks the commits that the draining one holds and that
// were acknowledged.
#include "../common/group.hpp"

using namespace review;

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    Deployment deployment(record);
    deployment.machines.reserve(8);
    for (const char *zone : {"erie-south", "michigan-west", "huron-bay"})
        deployment.add(zone, true);
    Operator op(deployment, "windlog-1", 1);
    Group group(deployment, "windlog-1", 1);
    if (!group.start() || !group.startPlatform())
        return CouldNotRun;
    for (const Machine &machine : deployment.machines) {
        deployment.start(machine, "rhubarb-fleet", true);
        deployment.start(machine, "rhubarb-pooler", true);
    }
    if (!op.replace(1, 15))
        return CouldNotRun;

    std::set<std::string> acknowledged;
    std::atomic<bool> wasPromoted{false};
    std::set<std::string> missing;
    group.promoted = [&](const Database &target) {
        // Called when the promotion takes effect, with the log that the target leads with.
        std::set<std::string> held;
        for (const Commit &commit : target.log) {
            for (const std::string &write : commit.writes)
                held.insert(write.substr(0, write.find(' ')));
        }
        for (const std::string &id : acknowledged) {
            if (held.count(id) == 0)
                missing.insert(id);
        }
        wasPromoted = true;
    };

    Client client(record, "u1");
    const auto write = [&](const std::string &id) {
        for (int tries = 0; tries < 40 && !client.isConnected(); ++tries) {
            if (!client.connect(deployment.machines[0].ip, deployment.ports.front, "post"))
                sleepSeconds(0.25);
        }
        const auto lines = client.query(id, "WRITE item" + id + " data" + id);
        if (!Client::succeeded(lines))
            return false;
        const std::lock_guard<std::mutex> lock(group.mutex);
        acknowledged.insert(id);
        return true;
    };
    // Waits until the group is served.
    bool served = false;
    for (int tries = 0; tries < 60 && !served; ++tries) {
        served = write("a" + std::to_string(tries));
        if (!served)
            sleepSeconds(0.25);
    }
    if (!served) {
        record.line("the group was not served");
        return CouldNotRun;
    }
    sleepSeconds(3);
    Database &primary = *group.databases[0];
    Database &leaving = *group.databases[1];
    Database &lagging = *group.databases[2];
    // Planned work, with and without the trouble.
    if (!group.drain(leaving))
        return CouldNotRun;
    sleepSeconds(0.5);
    if (troubled())
        group.setDeaf(lagging, true);
    int count = 0;
    for (int number = 0; number < 20; ++number)
        count += write("b" + std::to_string(number)) ? 1 : 0;
    record.line("%d of 20 writes acknowledged", count);
    if (count == 0)
        return CouldNotRun;
    if (troubled()) {
        group.crash(primary);
        for (int slept = 0; slept < 300 && !wasPromoted; ++slept)
            sleepSeconds(0.1);
        if (!wasPromoted) {
            record.line("nothing was promoted");
            return CouldNotRun;
        }
        sleepSeconds(3);
    } else {
        sleepSeconds(5);
    }
    const std::lock_guard<std::mutex> lock(group.mutex);
    for (const std::string &id : missing)
        record.line("acknowledged, but not in the log of the promoted database: %s", id.c_str());
    record.line("missing: %zu of %zu acknowledged writes", missing.size(), acknowledged.size());
    return missing.empty() ? Held : Broken;
}
