// A heartbeat of another writer names a service that the configuration doesn't name, at the address
// of a replica. Later the other replica receives nothing for a while, and the primary crashes
// meanwhile.
#include "writes.hpp"

using namespace review;

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[2]);
    const bool hasTrouble = std::string(argv[3]) != "0";
    Deployment::Shape shape;
    shape.syncReplicas = 1;
    Deployment system(record, argv[1], shape);
    if (!system.start()) {
        record.add("result: the deployment did not get ready");
        return 2;
    }
    Group &group = system.group;
    Database &replica = *group.find("i-db1");
    WriteLoad load(record, system.front(0), group);
    pause(seconds(2));
    if (hasTrouble) {
        const std::string body =
            "{\"service\":\"reports\",\"address\":\"" + replica.address.text()
            + "\",\"zone\":\"zone-b\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
              "\"cold_remaining_ms\":0,\"database_role\":\"replica\",\"sequence\":1,\"born\":"
            + std::to_string(unixMs()) + "}";
        const std::string path = "/api/Instances.Heartbeat/i-reports";
        const Reply reply = callAny(system.controlAddresses(), "POST", path, body, 9);
        record.add("another writer: sends POST " + path + " " + body + ", is answered "
                   + std::to_string(reply.status));
    }
    pause(seconds(4));
    const std::string beat = replica.announcement();
    const Reply answered = callAny(system.controlAddresses(), "POST",
                                   "/api/Instances.Heartbeat/" + replica.id, beat, 9);
    record.add("database " + replica.id + ": sends heartbeat " + beat + ", is answered "
               + std::to_string(answered.status));
    return load.crashWhileDeaf(*group.find("i-db0"), *group.find("i-db2"));
}
