// A control instance is replaced: its successor starts first, and once that has had its time to
// catch up the old one is gone for good, without SIGTERM. Then another instance loses its disk.
#include "standins.hpp"

#include <algorithm>
#include <filesystem>

using namespace review;

namespace {

// Times of the site: until a new machine counts as caught up, and until service is back.
constexpr seconds CatchUpTime{4};
constexpr seconds RecoveryTime{12};
constexpr seconds ContactTime{4};
constexpr milliseconds DownTime{1000};

int statusOfRead(const std::vector<Address> &controls, std::string *body)
{
    int best = 0;
    for (const Address &each : controls) {
        const Reply reply =
            call(each, "GET", "/api/Configuration.Get", "", milliseconds(1000));
        if (reply.status == 200 && body != nullptr)
            *body = reply.body;
        best = reply.status == 200 || best == 200 ? 200 : std::max(best, reply.status);
    }
    return best;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    Deployment system(record, argv[1], {});
    if (!system.start()) {
        record.add("result: the deployment did not get ready");
        return 2;
    }
    system.endBootstrap();
    pause(seconds(2));
    const std::string document = system.configuration(9);
    const Reply accepted = callAny(system.controlAddresses(), "POST",
                                   "/api/Configuration.Replace", document, 20);
    record.add("operator: version 9 is answered " + std::to_string(accepted.status));
    if (accepted.status != 200)
        return 2;
    // Neither the removed instance nor the one that loses its disk leads.
    const std::vector<Address> initial = system.controlAddresses();
    unsigned leader = 0;
    for (unsigned number = 0; number < initial.size(); ++number) {
        const Reply reply =
            callOnce(initial[number], "GET", "/api/Configuration.Get", "", milliseconds(1000));
        if (reply.status == 200)
            leader = number;
    }
    const unsigned removed = (leader + 1) % 3;
    const unsigned wiped = (leader + 2) % 3;
    record.add("operator: rhubarb-fleet-" + std::to_string(leader) + " leads");
    system.addControl().start();
    record.add("platform: rhubarb-fleet-3 starts, at a new address, with an empty disk");
    pause(CatchUpTime + seconds(2));
    system.controls[removed]->kill();
    record.add("platform: rhubarb-fleet-" + std::to_string(removed)
               + " is removed for good, without SIGTERM");
    pause(seconds(1));
    if (hasTrouble) {
        system.controls[wiped]->kill();
        std::filesystem::remove_all(system.dataFolder(wiped));
        record.add("disk: rhubarb-fleet-" + std::to_string(wiped) + " loses its disk");
    }
    pause(DownTime);
    if (hasTrouble) {
        system.controls[wiped]->start();
        record.add("disk: rhubarb-fleet-" + std::to_string(wiped)
                   + " starts again at its address, with an empty disk, bootstrap false");
    }
    std::vector<Address> running = {initial[leader], initial[wiped],
                                    {system.controlHost(3), system.base}};
    pause(RecoveryTime);
    // The operator reads again and again, far longer than it has to.
    const auto until = Clock::now() + ContactTime + RecoveryTime;
    int status = 0;
    std::string body;
    while (status != 200 && Clock::now() < until) {
        status = statusOfRead(running, &body);
        pause(milliseconds(500));
    }
    record.add("operator: GET /api/Configuration.Get at the three instances, until "
               + std::to_string((RecoveryTime + ContactTime + RecoveryTime).count())
               + " s after the last start: " + std::to_string(status));
    const Reply next = callAny(running, "POST", "/api/Configuration.Replace",
                               system.configuration(11), 6);
    record.add("operator: version 11 is answered " + std::to_string(next.status));
    const bool isKept = status == 200 && body == document;
    record.add(isKept ? "result: CONFIG is kept: version 9 is read back"
                      : "result: CONFIG is broken: version 9 doesn't come");
    return isKept ? 0 : 1;
}
