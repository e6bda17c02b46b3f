// Case 13: two machines of the core go, one shortly after the other, each with a successor that is
// ready. See claim.txt.
#include "../common-3/world.hpp"

using namespace world;

namespace {

// How long both successors run before the first machine goes; catch_up_s is 4.
constexpr double CaughtUp = 8;
// From the first removal to the second one.
constexpr double Between = 1;
constexpr double BetweenWithoutTrouble = 12;
// From the last removal to the end of the day; recovery_s is 12.
constexpr double Recovery = 15;
// How long the configuration is then read back; contact_ms is 4,000.
constexpr double ReadBack = 20;

Machine &addMachine(Deployment &deployment, std::size_t zone)
{
    Machine machine;
    machine.zone = deployment.zones[zone];
    machine.name = "front-" + machine.zone + "-9";
    machine.ip = deployment.net + std::to_string(60 + zone);
    machine.isCore = true;
    deployment.writeSettings(machine, "fleet", false);
    deployment.writeSettings(machine, "pooler", false);
    machine.fleet = deployment.launch(machine, "fleet");
    machine.pooler = deployment.launch(machine, "pooler");
    record("%s is added at %s with an empty disk", machine.name.c_str(), machine.ip.c_str());
    deployment.machines.push_back(machine);
    return deployment.machines.back();
}

// For good, without SIGTERM.
void removeMachine(Deployment &deployment, const std::string &name)
{
    for (Machine &machine : deployment.machines) {
        if (machine.name != name)
            continue;
        deployment.signalMachine(machine, SIGKILL);
        waitpid(machine.fleet, nullptr, 0);
        waitpid(machine.pooler, nullptr, 0);
        machine.fleet = machine.pooler = -1;
        machine.isCore = false;
        record("%s is removed", name.c_str());
    }
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
    Platform platform(group, deployment.net + "160");
    deployment.platform = platform.address();
    deployment.prepare(6);
    group->controls = deployment.controls();
    Database &first = group->add("i-7f3a91c2", deployment.net + "101", deployment.zones[0]);
    group->firstPrimary(first);
    platform.start();
    deployment.startAll();
    first.start();
    const auto order = [&](int version) {
        return configuration(version, group->service, {{"bookings", "primary", 800, 150, 0}}, 112, 0);
    };
    if (!sendOrder(group->controls, order(7), 20)) {
        record("the first configuration was not acknowledged");
        return 2;
    }
    sleepFor(3);
    addMachine(deployment, 0);
    addMachine(deployment, 1);
    sleepFor(CaughtUp);
    const std::string newest = order(9);
    if (!sendOrder(deployment.controls(), newest, 10)) {
        record("version 9 was not acknowledged");
        return 2;
    }
    record("version 9 is acknowledged");
    sleepFor(1);
    const Machine *leading = deployment.leader();
    record("%s leads", leading == nullptr ? "nobody" : leading->name.c_str());
    removeMachine(deployment, "front-be-central-a-1");
    sleepFor(isTroubled ? Between : BetweenWithoutTrouble);
    removeMachine(deployment, "front-be-central-b-1");
    sleepFor(Recovery);
    record("the configuration is read back");
    const double until = now() + ReadBack;
    std::string read;
    while (now() < until && read.empty()) {
        for (const std::string &control : deployment.controls()) {
            const HttpAnswer answer = call(control, "GET", "/api/Configuration.Get", "");
            note("read at %s: %d", control.c_str(), answer.status);
            if (answer.status == 200)
                read = answer.body;
        }
        sleepFor(0.3);
    }
    const bool isBack = read == newest;
    record(isBack ? "version 9 is read back"
                  : "CONFIG: version 9 was acknowledged and doesn't come in %.0f s", ReadBack);
    const bool isAcked = sendOrder(deployment.controls(), order(11), isBack ? 10 : 5);
    record("a further change is %s", isAcked ? "acknowledged" : "not acknowledged");
    for (const Machine &machine : deployment.machines) {
        if (machine.fleet > 0)
            record("runs: rhubarb-fleet on %s", machine.name.c_str());
    }
    group->isOver = true;
    deployment.stopAll();
    std::fflush(nullptr);
    _exit(isBack ? 0 : 1);
}
