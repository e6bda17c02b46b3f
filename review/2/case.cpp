// Case 2: a machine of the core is replaced as planned: its successor runs for longer than catch_up_s, then
// the old one is stopped for good. A second later another machine loses its disk, the only loss of
// the day. Nobody leads any more and the acknowledged configuration never comes.
#include "../common/harness.hpp"

using namespace review;

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    Deployment deployment(record);
    Operator op(deployment, "rally-registry-1", 0);
    deployment.machines.reserve(8);
    for (const char *zone : {"be-central-a", "be-central-b", "be-central-c"})
        deployment.add(zone, true);
    for (const Machine &machine : deployment.machines)
        deployment.start(machine, "rhubarb-fleet", true);
    if (!op.replace(1, 15) || !op.replace(2, 15)) {
        record.line("the first configurations were not acknowledged");
        return CouldNotRun;
    }
    sleepSeconds(3);
    const Machine *leader = op.leader();
    if (leader == nullptr)
        return CouldNotRun;
    record.line("%s leads", leader->name.c_str());
    std::vector<const Machine *> others;
    for (const Machine &machine : deployment.machines) {
        if (&machine != leader)
            others.push_back(&machine);
    }
    const Machine &leaving = *others[0];
    const Machine &wiped = *others[1];
    // Planned work, with and without the trouble. catch_up_s is 4.
    const Machine &successor = deployment.add(leaving.zone, true);
    deployment.start(successor, "rhubarb-fleet", false);
    sleepSeconds(5);
    deployment.signal(leaving.name, "rhubarb-fleet", SIGTERM);
    sleepSeconds(1);
    deployment.kill(leaving.name, "rhubarb-fleet");
    if (troubled()) {
        deployment.kill(wiped.name, "rhubarb-fleet");
        deployment.loseDisk(wiped);
        sleepSeconds(1);
        deployment.start(wiped, "rhubarb-fleet", false);
    }
    record.line("three machines run, the one that left stays away; recovery_s begins");
    sleepSeconds(12);
    const auto begin = Clock::now();
    unsigned newest = 0;
    std::map<int, int> statuses;
    while (newest < 2 && secondsSince(begin) < 20) {
        for (const Machine &machine : deployment.machines) {
            if (&machine == &leaving)
                continue;
            int status = 0;
            newest = std::max(newest, op.read(machine, &status));
            ++statuses[status];
        }
        sleepSeconds(0.2);
    }
    for (const auto &[status, count] : statuses)
        record.line("reads answered with %d: %d", status, count);
    const bool changes = op.replace(3, 10);
    record.line("newest version read back: %u, acknowledged: 2; a further change is %s", newest,
                changes ? "acknowledged" : "not acknowledged");
    return newest >= 2 ? Held : Broken;
}
