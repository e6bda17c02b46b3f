// Emulates many proxies and targets against running control instances: one process sends lease
// renewals and announcements at their normal rates. Prints the message rates and the processor time
// and memory that the control processes used.
#include "rhubarbweir/protocol/codec.hpp"
#include "rhubarbweir/transport/event_loop.hpp"
#include "rhubarbweir/transport/web_socket.hpp"

#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace {

using namespace rhubarbweir;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds RenewInterval{400};
constexpr std::chrono::milliseconds AnnounceInterval{250};

struct Options
{
    std::vector<std::string> controls;
    std::vector<std::string> pids;
    int proxies = 0;
    int groups = 0;
    int seconds = 10;
};

struct Counters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t leases = 0;
};

// Processor time and resident memory of a process, read from /proc.
struct ResourceUsage
{
    double cpuSeconds = 0;
    double residentMib = 0;
};

ResourceUsage readResourceUsage(const std::string &pid)
{
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
        values.push_back(value);
    if (values.size() < 22)
        return {};
    const double ticks = std::stod(values[11]) + std::stod(values[12]);
    const double pages = std::stod(values[21]);
    return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
            pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024)};
}

// An emulated proxy or target with its connection to one control instance.
class Peer : public std::enable_shared_from_this<Peer>
{
public:
    // `periodicMessage` is sent at each interval. The connections of one target share it, so
    // that all of them announce the same state.
    Peer(EventLoop &eventLoop, Counters &shared, std::shared_ptr<Message> periodicMessage)
        : loop(eventLoop)
        , counters(shared)
        , message(std::move(periodicMessage))
    {
    }

    void start(WebSocketClient &client, const std::string &address, Duration interval)
    {
        client.connect(address, Subprotocol::Control, EventLoop::now() + 5s,
                       [self = this->shared_from_this(), interval](auto connected) {
                           if (connected.ok())
                               self->attach(*connected, interval);
                           else
                               std::cerr << connected.status() << "\n";
                       });
    }

private:
    void attach(ConnectionPtr opened, Duration interval)
    {
        this->connection = std::move(opened);
        this->connection->onMessage = [self = this->shared_from_this()](Message received) {
            self->receive(received);
        };
        this->loop.every(interval,
                         [self = this->shared_from_this()] { self->sendPeriodicMessage(); });
        this->sendPeriodicMessage();
    }

    void sendPeriodicMessage()
    {
        if (auto *renew = std::get_if<RenewLease>(this->message.get()))
            ++renew->sequence;
        this->sendMessage(*this->message);
    }

    void sendMessage(const Message &sent)
    {
        this->connection->send(sent);
        ++this->counters.sent;
        this->counters.sentBytes += encode(sent).size();
    }

    void receive(const Message &answer)
    {
        ++this->counters.received;
        this->counters.receivedBytes += encode(answer).size();
        if (auto *renew = std::get_if<RenewLease>(this->message.get()))
            this->receiveAsProxy(*renew, answer);
        else
            this->receiveAsTarget(std::get<Announcement>(*this->message).status, answer);
    }

    void receiveAsProxy(RenewLease &renew, const Message &answer)
    {
        if (const auto *changed = std::get_if<ViewChanged>(&answer))
            renew.revision = std::max(renew.revision, changed->delta.toRevision);
        const auto *granted = std::get_if<LeaseGranted>(&answer);
        if (granted == nullptr)
            return;
        ++this->counters.leases;
        renew.revision = std::max(renew.revision, granted->delta.toRevision);
    }

    void receiveAsTarget(TargetStatus &status, const Message &answer)
    {
        if (const auto *fence = std::get_if<FenceTarget>(&answer)) {
            status.adoptedTerm = std::max(status.adoptedTerm, fence->term);
            status.role = TargetRole::Replica;
            this->sendMessage(TargetFenced{status});
        } else if (const auto *promote = std::get_if<PromoteTarget>(&answer)) {
            status.role = TargetRole::Primary;
            status.received = {promote->term, status.received.position + 1};
            status.applied = status.received;
            this->sendMessage(TargetPromoted{status});
        } else if (const auto *follow = std::get_if<FollowPrimary>(&answer)) {
            status.adoptedTerm = std::max(status.adoptedTerm, follow->term);
        }
    }

    EventLoop &loop;
    Counters &counters;
    std::shared_ptr<Message> message;
    ConnectionPtr connection;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

Options parseOptions(int argc, char **argv)
{
    const option longOptions[] = {
        {"controls", required_argument, nullptr, 'c'}, {"pids", required_argument, nullptr, 'p'},
        {"proxies", required_argument, nullptr, 'n'},  {"groups", required_argument, nullptr, 'g'},
        {"seconds", required_argument, nullptr, 's'},  {nullptr, 0, nullptr, 0}};
    Options options;
    for (int selected = 0; (selected = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (selected == 'c')
            options.controls = split(optarg);
        else if (selected == 'p')
            options.pids = split(optarg);
        else if (selected == 'n')
            options.proxies = std::stoi(optarg);
        else if (selected == 'g')
            options.groups = std::stoi(optarg);
        else if (selected == 's')
            options.seconds = std::stoi(optarg);
        else
            std::exit(64);
    }
    return options;
}

Message leaseRenewal(int number, int groups)
{
    RenewLease renew;
    renew.proxy = InstanceId("bench-proxy-" + std::to_string(number));
    renew.address = "127.0.0.1:" + std::to_string(20000 + number);
    renew.failureDomain = FailureDomainId("domain-" + std::to_string(number % 19));
    renew.incarnation = 1;
    // A proxy subscribes to the groups that its callers use.
    for (int i = 0; i < std::min(groups, 8); ++i)
        renew.groups.emplace_back("bench-" + std::to_string((number * 7 + i) % groups));
    return renew;
}

Message targetAnnouncement(int group, int member)
{
    Announcement announcement;
    announcement.status.group = GroupId("bench-" + std::to_string(group));
    announcement.status.target =
        TargetId(announcement.status.group.value + "-" + std::to_string(member));
    announcement.status.adoptedTerm = 1;
    announcement.address = "127.0.0.1:" + std::to_string(30000 + group * 3 + member);
    announcement.failureDomain = FailureDomainId("domain-" + std::to_string(member));
    return announcement;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = parseOptions(argc, argv);
    EventLoop loop;
    WebSocketClient client(loop);
    Counters counters;
    for (int group = 0; group < options.groups; ++group) {
        for (int member = 0; member < 3; ++member) {
            const auto message = std::make_shared<Message>(targetAnnouncement(group, member));
            for (const auto &control : options.controls)
                std::make_shared<Peer>(loop, counters, message)
                    ->start(client, control, AnnounceInterval);
        }
    }
    // Every proxy sends renewals to every control instance; only the leader grants leases.
    for (int number = 0; number < options.proxies; ++number) {
        for (const auto &control : options.controls) {
            const auto message =
                std::make_shared<Message>(leaseRenewal(number, std::max(1, options.groups)));
            std::make_shared<Peer>(loop, counters, message)->start(client, control, RenewInterval);
        }
    }

    constexpr std::chrono::seconds warmUp{6};
    std::vector<ResourceUsage> before;
    Counters countersBefore;
    loop.schedule(EventLoop::now() + warmUp, [&] {
        for (const auto &pid : options.pids)
            before.push_back(readResourceUsage(pid));
        countersBefore = counters;
    });
    loop.schedule(EventLoop::now() + warmUp + std::chrono::seconds(options.seconds), [&] {
        std::printf("proxies=%d groups=%d targets=%d sent_per_s=%.0f sent_bytes_per_s=%.0f "
                    "received_bytes_per_s=%.0f leases_per_s=%.0f",
                    options.proxies, options.groups, options.groups * 3,
                    double(counters.sent - countersBefore.sent) / options.seconds,
                    double(counters.sentBytes - countersBefore.sentBytes) / options.seconds,
                    double(counters.receivedBytes - countersBefore.receivedBytes) / options.seconds,
                    double(counters.leases - countersBefore.leases) / options.seconds);
        for (std::size_t i = 0; i < options.pids.size(); ++i) {
            const ResourceUsage usage = readResourceUsage(options.pids[i]);
            std::printf(" control%zu_core=%.4f control%zu_mib=%.1f", i,
                        (usage.cpuSeconds - before[i].cpuSeconds) / options.seconds, i,
                        usage.residentMib);
        }
        std::printf("\n");
        loop.stop();
    });
    loop.run();
    return 0;
}
