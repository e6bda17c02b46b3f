// Case 1: a primary is partitioned and another database is promoted, which acknowledges writes and
// then goes dark as the partition ends. The old primary still takes itself for one and gets the
// authority back without a promotion. It serves reads that lack the acknowledged writes, and
// acknowledges writes beside the newer primary.
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
    Operator op(deployment, "windlog-1", 0);
    Group group(deployment, "windlog-1", 0);
    if (!group.start() || !group.startPlatform())
        return CouldNotRun;
    for (const Machine &machine : deployment.machines) {
        deployment.start(machine, "rhubarb-fleet", true);
        deployment.start(machine, "rhubarb-pooler", true);
    }
    if (!op.replace(1, 15))
        return CouldNotRun;

    // Under the mutex of the group: the newest term that a promotion made, and what its log holds.
    unsigned long newestTerm = 1;
    std::set<std::string> rolledBack;
    std::map<std::string, unsigned long> acknowledged;
    const auto idsOf = [](const Database &database) {
        std::set<std::string> ids;
        for (const Commit &commit : database.log) {
            for (const std::string &write : commit.writes)
                ids.insert(write.substr(0, write.find(' ')));
        }
        return ids;
    };
    group.promoted = [&](const Database &target) {
        newestTerm = target.term;
        const std::set<std::string> held = idsOf(target);
        for (const auto &[id, term] : acknowledged) {
            if (held.count(id) == 0)
                rolledBack.insert(id);
        }
    };
    // A session of its own for each operation, at the first machine that takes it.
    unsigned next = 0;
    const auto session = [&](Client &client) {
        for (int tries = 0; tries < 6; ++tries) {
            const Machine &machine = deployment.machines[next++ % deployment.machines.size()];
            if (client.connect(machine.ip, deployment.ports.front, "post"))
                return true;
        }
        return false;
    };
    int atOldPrimary = 0;
    const auto write = [&](const std::string &id) {
        Client client(record, "u1");
        if (!session(client))
            return false;
        const auto lines = client.query(id, "WRITE item-" + id + " data-" + id);
        if (!Client::succeeded(lines))
            return false;
        const std::lock_guard<std::mutex> lock(group.mutex);
        for (auto &database : group.databases) {
            for (const Commit &commit : database->log) {
                if (commit.writes.front().rfind(id + " ", 0) == 0)
                    acknowledged[id] = commit.position.term;
            }
        }
        if (acknowledged.count(id) != 0 && acknowledged[id] < newestTerm) {
            record.line("write %s was acknowledged in term %lu, after a promotion to term %lu",
                        id.c_str(), acknowledged[id], newestTerm);
            ++atOldPrimary;
        }
        return true;
    };
    int stale = 0;
    const auto read = [&](const std::string &id, const std::string &about) {
        Client client(record, "u2");
        if (!session(client))
            return;
        const auto lines = client.query(id, "READ item-" + about);
        const std::lock_guard<std::mutex> lock(group.mutex);
        if (Client::succeeded(lines) && lines.front() != "DATAROW data-" + about
            && rolledBack.count(about) == 0) {
            record.line("read %s lacks the acknowledged write %s, and no promotion rolled it back",
                        id.c_str(), about.c_str());
            ++stale;
        }
    };

    bool served = false;
    for (int tries = 0; tries < 60 && !served; ++tries) {
        served = write("a" + std::to_string(tries));
        if (!served)
            sleepSeconds(0.25);
    }
    if (!served)
        return CouldNotRun;
    sleepSeconds(3);

    Database &old = *group.databases[0];
    const auto begin = Clock::now();
    Database *deaf = nullptr;
    Database *fresh = nullptr;
    if (troubled()) {
        // One replica receives nothing from now on, the other holds a commit more.
        deaf = group.databases[2].get();
        fresh = group.databases[1].get();
        group.setDeaf(*deaf, true);
    }
    write("b0");
    if (troubled())
        group.setCut(old, true);
    std::string lastId;
    int count = 0;
    while (secondsSince(begin) < 2.8) {
        const std::string id = "c" + std::to_string(count++);
        if (write(id))
            lastId = id;
        sleepSeconds(0.1);
    }
    if (lastId.empty()) {
        record.line("nothing was served in the partition");
        return CouldNotRun;
    }
    if (troubled()) {
        if (newestTerm == 1)
            return CouldNotRun;
        group.setCut(old, false);
        sleepSeconds(0.2);
        group.setCut(*fresh, true);
    }
    const auto dark = Clock::now();
    for (int number = 0; number < 30 && secondsSince(dark) < 7; ++number) {
        read("r" + std::to_string(number), lastId);
        write("d" + std::to_string(number));
        sleepSeconds(0.2);
        if (troubled() && deaf->isDeaf && secondsSince(begin) > 6.5)
            group.setDeaf(*deaf, false);
    }
    if (troubled()) {
        sleepSeconds(7 - secondsSince(dark));
        group.setCut(*fresh, false);
        sleepSeconds(3);
        const std::lock_guard<std::mutex> lock(group.mutex);
        const std::set<std::string> held = idsOf(*fresh);
        int lost = 0;
        for (const auto &[id, term] : acknowledged)
            lost += held.count(id) == 0 && rolledBack.count(id) == 0 ? 1 : 0;
        record.line("acknowledged writes that the newest primary lacks in the end: %d", lost);
    }
    record.line("stale reads: %d; writes acknowledged at the old primary: %d", stale,
                atOldPrimary);
    return stale == 0 && atOldPrimary == 0 ? Held : Broken;
}
