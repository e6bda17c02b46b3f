// Case 12: the primary crashes after the replica that held its last commits has left. See claim.txt.
#include "../common-3/world.hpp"

#include <cinttypes>

using namespace world;

namespace {

constexpr double DrainTime = 7;
// From when the draining replica ends to the start of the new database at its address.
constexpr double Successor = 3;
constexpr double DeafTime = 6.5;
constexpr double DarkTime = 7;
constexpr int Clients = 6;

void clientLoop(const std::shared_ptr<Group> &group, const Deployment &deployment, int number,
                std::atomic<std::uint64_t> &served)
{
    ClientSession session;
    for (std::size_t turn = static_cast<std::size_t>(number); !group->isOver; ++turn) {
        const Machine &machine = deployment.machines[turn % deployment.machines.size()];
        if (!session.isOpen() && !session.open(machine.ip, "bookings")) {
            sleepFor(0.2);
            continue;
        }
        const std::string id = newId();
        group->sending(id);
        const Answer answer = session.query(id, "WRITE i" + std::to_string(number) + " d" + id);
        note("client %d: WRITE %s -> %s", number, id.c_str(),
             answer.outcome.empty() ? "closed" : answer.outcome.c_str());
        if (answer.outcome == "ok") {
            group->acked(id);
            ++served;
        }
        sleepFor(answer.outcome == "ok" ? 0.05 : 0.1);
    }
}

void announce(Group &group, Database &database, bool isDraining)
{
    const std::lock_guard<std::mutex> lock(group.mutex);
    database.isDraining = isDraining;
    database.hasNews = true;
    database.announce.notify_all();
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    const bool isTroubled = hasTrouble();
    recordFile() = std::fopen("record.txt", "w");
    Deployment deployment;
    deployment.root = arguments[1];
    deployment.net = freeNet();
    auto group = std::make_shared<Group>();
    group->service = "huvo11a";
    group->syncReplicas = 1;
    Platform platform(group, deployment.net + "160");
    deployment.platform = platform.address();
    deployment.prepare(6);
    group->controls = deployment.controls();
    Database &primary = group->add("i-7f3a91c2", deployment.net + "101", deployment.zones[0]);
    Database &leaving = group->add("i-51b0e7d4", deployment.net + "102", deployment.zones[1]);
    Database &staying = group->add("i-c40d2a8f", deployment.net + "103", deployment.zones[2]);
    // At the address of the one that leaves.
    Database &successor = group->add("i-e91c66b3", deployment.net + "102", deployment.zones[1]);
    group->firstPrimary(primary);
    platform.start();
    deployment.startAll();
    primary.start();
    leaving.start();
    staying.start();
    if (!sendOrder(group->controls,
                   configuration(7, group->service, {{"bookings", "primary", 800, 150, 0}}, 112, 1),
                   20)) {
        record("the configuration was not acknowledged");
        return 2;
    }
    std::atomic<std::uint64_t> served{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < Clients; ++number)
        clients.emplace_back(clientLoop, group, std::cref(deployment), number, std::ref(served));
    sleepFor(4);
    record("%" PRIu64 " writes acknowledged; %s drains", served.load(), leaving.id.c_str());
    const double began = now();
    announce(*group, leaving, true);
    sleepUntil(began + DrainTime);
    if (isTroubled) {
        group->setDeaf(staying, true);
        record("%s receives nothing from now on", staying.id.c_str());
    }
    sleepUntil(began + DrainTime + 1);
    const std::string leave = "/api/Instances.Leave/" + leaving.id;
    for (const std::string &control : group->controls) {
        const std::string body = "{\"born\":" + std::to_string(leaving.born) + "}";
        const HttpAnswer answer = call(control, "POST", leave, body);
        record("Leave of %s at %s: %d", leaving.id.c_str(), control.c_str(), answer.status);
        if (answer.status == 200)
            break;
    }
    leaving.crash();
    const double ended = now();
    record("%s has ended", leaving.id.c_str());
    if (isTroubled) {
        sleepUntil(ended + 0.5);
        primary.crash();
        record("the primary %s goes dark", primary.id.c_str());
    }
    sleepUntil(ended + Successor);
    {
        const std::lock_guard<std::mutex> lock(group->mutex);
        successor.log = leaving.log;
        successor.knownTerm = leaving.knownTerm;
    }
    successor.start();
    record("%s starts at the address of %s, with its log", successor.id.c_str(), leaving.id.c_str());
    if (isTroubled) {
        sleepUntil(began + DrainTime + DeafTime);
        group->setDeaf(staying, false);
        record("%s receives again", staying.id.c_str());
        sleepUntil(ended + 0.5 + DarkTime);
        primary.start();
        record("%s is back with its log", primary.id.c_str());
    }
    sleepUntil(ended + 16);
    group->isOver = true;
    for (std::thread &client : clients)
        client.join();
    const std::lock_guard<std::mutex> lock(group->mutex);
    int lost = 0;
    for (const Commit &commit : group->commits) {
        if (commit.ackedAt < 0 || !commit.wasRolledBack)
            continue;
        if (++lost <= 10)
            record("LOST: write %s was acknowledged at %.3f and isn't in the log that was promoted",
                   commit.operation.c_str(), commit.ackedAt);
    }
    for (const Term &term : group->terms)
        record("term %" PRIu64 ": %s since %.3f", term.term, term.database.c_str(), term.since);
    record("%zu commits, %" PRIu64 " writes acknowledged, %d of them lost by a promote",
           group->commits.size(), served.load(), lost);
    deployment.stopAll();
    std::fflush(nullptr);
    _exit(lost > 0 ? 1 : 0);
}
