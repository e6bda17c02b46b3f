// Tests of ViewSubscriber: lease renewal and view updates of a proxy.
#include "rhubarbweir/coordination/proxy/view_subscriber.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace rhubarbweir;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start = TimePoint() + std::chrono::seconds(100);

struct SubscriberFixture
{
    std::vector<RenewLease> sent;
    std::vector<std::string> used;
    std::vector<ProxyViewPtr> views;
    std::vector<TimePoint> leases;
    ViewSubscriber subscriber;

    SubscriberFixture()
        : subscriber(settings(),
                     {[this](const RenewLease &message) { this->sent.push_back(message); },
                      [this](const std::string &address) { this->used.push_back(address); },
                      [this](ProxyViewPtr view) { this->views.push_back(std::move(view)); },
                      [this](TimePoint lease) {
                          this->leases.push_back(lease);
                      }})
    {
        this->subscriber.start(Start);
        this->subscriber.connected(Start);
    }

    static ViewSubscriberSettings settings()
    {
        ViewSubscriberSettings settings;
        settings.controlAddresses = {"c1", "c2", "c3"};
        return settings;
    }
};

GroupView group(const std::string &name, std::uint64_t revision, std::uint64_t term = 1)
{
    GroupView view;
    view.group = GroupId(name);
    view.revision = revision;
    view.term = term;
    return view;
}

LeaseGranted granted(std::uint64_t sequence, std::uint64_t from, std::uint64_t to,
                     std::vector<GroupView> groups = {})
{
    LeaseGranted message;
    message.sequence = sequence;
    message.leaseFor = milliseconds(2000);
    message.delta = {from, to, std::move(groups), {}};
    return message;
}

} // namespace

Test(view_subscriber, lease_from_sending,
     .description = "a lease starts when its renewal was sent and is shortened by the clock drift")
{
    SubscriberFixture proxy;
    proxy.subscriber.receive(granted(1, 0, 5, {group("g", 5)}), Start + milliseconds(250));
    cr_assert(proxy.leases.back() == Start + milliseconds(1980));
    proxy.subscriber.receive(granted(9, 5, 6), Start + milliseconds(260));
    proxy.subscriber.receive(granted(1, 5, 6), Start + milliseconds(270));
    cr_assert(proxy.leases.size() == 1, "an unexpected answer must not extend the lease");
}

Test(view_subscriber, stale_control,
     .description = "an instance with an older revision extends no lease and is replaced")
{
    SubscriberFixture proxy;
    proxy.subscriber.receive(granted(1, 0, 9, {group("g", 9, 4)}), Start);
    proxy.subscriber.advance(Start + milliseconds(400));
    proxy.subscriber.receive(granted(2, 0, 8, {group("g", 8, 3)}), Start + milliseconds(410));
    cr_assert(proxy.leases.size() == 1 && proxy.views.size() == 1);
    cr_assert(proxy.used.back() == "c2");
    cr_assert(proxy.subscriber.currentView()->groups.at(GroupId("g")).term == 4);
}

Test(view_subscriber, next_instance,
     .description = "a missing answer switches to the next instance, a refusal to the leader")
{
    SubscriberFixture proxy;
    proxy.subscriber.advance(Start + milliseconds(299));
    cr_assert(proxy.used.size() == 1);
    proxy.subscriber.advance(Start + milliseconds(300));
    cr_assert(proxy.used.back() == "c2");
    proxy.subscriber.connected(Start + milliseconds(310));
    LeaseRefused refused;
    refused.sequence = proxy.sent.back().sequence;
    refused.leaderAddress = "c7";
    proxy.subscriber.receive(refused, Start + milliseconds(320));
    cr_assert(proxy.used.back() == "c7");
    cr_assert(proxy.subscriber.nextDeadline() == Start + milliseconds(620));
}

Test(view_subscriber, observations,
     .description = "a changed observation is reported immediately, an unchanged one is not")
{
    SubscriberFixture proxy;
    const TargetObservation broken{TargetId("d1"), GroupId("g"), ObservedState::Broken};
    proxy.subscriber.setObservations({broken}, Start + milliseconds(10));
    cr_assert(proxy.sent.size() == 2);
    cr_assert(proxy.sent.back().observations.front().state == ObservedState::Broken);
    proxy.subscriber.setObservations({broken}, Start + milliseconds(20));
    cr_assert(proxy.sent.size() == 2);
}

Test(view_subscriber, revisions_never_decrease,
     .description = "no order of deltas decreases the revision of the view or of a group")
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        std::mt19937_64 random(seed);
        SubscriberFixture proxy;
        std::map<GroupId, std::uint64_t> groupRevisions;
        std::uint64_t revision = 0;
        for (int step = 0; step < 60; ++step) {
            const std::uint64_t from = random() % 12;
            const std::uint64_t to = from + random() % 6;
            const std::string name(1, static_cast<char>('a' + random() % 2));
            const ViewDelta delta{from, to, {group(name, random() % 12)}, {}};
            const TimePoint now = Start + milliseconds(step * 400);
            if (random() % 2 == 0) {
                proxy.subscriber.receive(ViewChanged{delta}, now);
            } else {
                proxy.subscriber.connected(now);
                const std::uint64_t sequence = proxy.sent.back().sequence;
                proxy.subscriber.receive(granted(sequence, from, to, delta.groups), now);
            }
            cr_assert(proxy.subscriber.revision() >= revision, "seed %d", static_cast<int>(seed));
            revision = proxy.subscriber.revision();
            for (const auto &[id, view] : proxy.subscriber.currentView()->groups) {
                cr_assert(view.revision >= groupRevisions[id], "seed %d", static_cast<int>(seed));
                groupRevisions[id] = view.revision;
            }
        }
        cr_assert(std::is_sorted(proxy.leases.begin(), proxy.leases.end()));
    }
}
