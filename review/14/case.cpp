// Case 14: at the first start the seeds name a control instance without a disk. See claim.txt.
#include "../common-3/world.hpp"

#include <cinttypes>

using namespace world;

namespace {

// The operator sends its first order again until it is accepted. Traffic starts 10 s after the
// machines do; the script waits six times as long.
constexpr double Watched = 60;

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    recordFile() = std::fopen("record.txt", "w");
    Deployment deployment;
    deployment.root = arguments[1];
    deployment.net = freeNet();
    auto group = std::make_shared<Group>();
    group->service = "huvo11a";
    Platform platform(group, deployment.net + "160");
    deployment.platform = platform.address();
    deployment.hasObservers = true;
    // Machines 0 to 2 are the first of their zones and have a disk, 3 to 5 are the second ones.
    deployment.seeds = hasTrouble() ? std::vector<std::size_t>{0, 3, 1} : std::vector<std::size_t>{0, 1, 2};
    deployment.prepare(9);
    group->controls = deployment.controls();
    Database &first = group->add("i-7f3a91c2", deployment.net + "101", deployment.zones[0]);
    Database &second = group->add("i-51b0e7d4", deployment.net + "102", deployment.zones[1]);
    group->firstPrimary(first);
    platform.start();
    for (const std::string &seed : deployment.seedAddresses())
        record("seed %s", seed.c_str());
    deployment.startAll();
    first.start();
    second.start();
    const std::string order =
        configuration(7, group->service, {{"bookings", "primary", 800, 150, 0}}, 112, 0);
    const bool isAcked = sendOrder(group->controls, order, Watched);
    record("the first order is %s", isAcked ? "acknowledged" : "not acknowledged by any instance");
    std::uint64_t served = 0;
    const double until = now() + 10;
    ClientSession session;
    while (now() < until) {
        const Machine &machine = deployment.machines[served % deployment.machines.size()];
        if (!session.isOpen() && !session.open(machine.ip, "bookings")) {
            sleepFor(0.2);
            continue;
        }
        const std::string id = newId();
        if (session.query(id, "WRITE item d" + id).outcome == "ok")
            ++served;
        sleepFor(0.05);
    }
    const bool isBroken = !isAcked && served == 0;
    record("%" PRIu64 " operations served", served);
    if (isBroken)
        record("Fault: no request is served");
    group->isOver = true;
    deployment.stopAll();
    std::fflush(nullptr);
    _exit(isBroken ? 1 : 0);
}
