// Property test of the fleet controller: under random partitions, restarts, late messages, leader
// changes, and failed or overloaded primaries, no target is promoted while any pooler may use
// another one as the primary.
#include "fakes/fleet_fixture.hpp"
#include "rhubarbweir/coordination/sessions/authority_view.hpp"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace rhubarbweir;
using namespace rhubarbweir::fakes;

namespace {

constexpr unsigned Seeds = 1000;
constexpr int Steps = 300;
constexpr milliseconds StepLength{50};

// A pooler with its own belief about its lease and view, also while it is partitioned.
struct ModelPooler
{
    std::string name;
    std::uint64_t incarnation = 0;
    bool isPartitioned = false;
    AuthorityView view;
    // Send times of this run's renewals, by sequence.
    std::map<std::uint64_t, TimePoint> sentAt;
};

class FleetModel
{
public:
    explicit FleetModel(unsigned seedNumber)
        : seed(seedNumber)
        , random(seedNumber)
    {
        this->fleet.waitForGracePeriod();
        this->fleet.startGroup();
        for (const std::string name : {"p1", "p2", "p3"}) {
            this->poolers.push_back({name, this->random() % 100000 + 1, false, {}, {}});
            this->renew(this->poolers.back());
        }
    }

    void run()
    {
        for (int step = 0; step < Steps; ++step) {
            this->injectFaults();
            for (ModelPooler &pooler : this->poolers) {
                if (!pooler.isPartitioned && this->chance(30))
                    this->renew(pooler);
            }
            if (step % 20 == 0)
                this->fleet.announceAll();
            for (int part = 0; part < 5; ++part) {
                this->fleet.advance(StepLength / 5);
                this->deliver();
                this->checkPromotions();
            }
        }
    }

    std::size_t promotions() const { return this->fleet.promotions.size(); }

private:
    bool chance(unsigned percent) { return this->random() % 100 < percent; }
    ModelPooler &anyPooler() { return this->poolers[this->random() % this->poolers.size()]; }

    void injectFaults()
    {
        if (this->chance(3))
            this->anyPooler().isPartitioned = this->chance(50);
        if (this->chance(2))
            this->restart(this->anyPooler());
        if (this->chance(3) && !this->endedRuns.empty()) {
            const auto &[name, incarnation] =
                this->endedRuns[this->random() % this->endedRuns.size()];
            this->fleet.renew(name, 0, {}, incarnation, false, false);
        }
        if (this->chance(2))
            this->fleet.changeLeader();
        if (this->chance(2))
            this->isOverloaded = !this->isOverloaded;
        if (this->chance(2) && this->fleet.unreachable.empty()
            && !this->fleet.actualPrimary.empty())
            this->fleet.unreachable.insert(this->fleet.actualPrimary);
        else if (this->chance(5))
            this->fleet.unreachable.clear();
    }

    void restart(ModelPooler &pooler)
    {
        this->endedRuns.emplace_back(pooler.name, pooler.incarnation);
        pooler = {pooler.name, this->random() % 100000 + 1, pooler.isPartitioned, {}, {}};
    }

    void renew(ModelPooler &pooler)
    {
        std::vector<std::string> complaints;
        for (const TargetId &target : this->fleet.unreachable)
            complaints.push_back(target.value);
        // The renewal may be sent twice, to confirm that its sender runs.
        pooler.sentAt[this->fleet.sequence + 1] = this->fleet.now;
        pooler.sentAt[this->fleet.sequence + 2] = this->fleet.now;
        this->fleet.renew(pooler.name, pooler.view.revision(), complaints, pooler.incarnation,
                          this->isOverloaded);
    }

    void deliver()
    {
        for (; this->delivered < this->fleet.sent.size(); ++this->delivered) {
            const auto [connection, reply] = this->fleet.sent[this->delivered];
            const auto *lease = std::get_if<FleetLease>(&reply);
            for (ModelPooler &pooler : this->poolers) {
                const bool isRecipient = this->fleet.connectionOf(pooler.name) == connection;
                if (lease != nullptr && isRecipient && !pooler.isPartitioned && !this->chance(10))
                    this->receive(pooler, *lease);
            }
        }
    }

    void receive(ModelPooler &pooler, const FleetLease &lease)
    {
        const auto asked = pooler.sentAt.find(lease.sequence);
        if (asked == pooler.sentAt.end() && lease.sequence != 0)
            return;
        pooler.view.update(lease.view, this->fleet.now);
        if (lease.sequence != 0 && pooler.view.revision() >= lease.view.revision)
            pooler.view.extendLease(asked->second + lease.leaseFor);
    }

    void checkPromotions()
    {
        for (; this->checked < this->fleet.promotions.size(); ++this->checked) {
            const PromotionRequest &request = this->fleet.promotions[this->checked];
            for (const ModelPooler &pooler : this->poolers) {
                const auto primary = pooler.view.primary(FleetFixture::Group, this->fleet.now);
                cr_assert(!primary || *primary == request.target,
                          "seed %u: %s may use %s while %s is promoted", this->seed,
                          pooler.name.c_str(), primary->value.c_str(),
                          request.target.value.c_str());
            }
            if (this->fleet.unreachable.count(request.target) == 0 && this->chance(70))
                this->fleet.answerPromotion(PromotionOutcome::Accepted);
        }
    }

    unsigned seed;
    std::mt19937_64 random;
    FleetFixture fleet;
    std::vector<ModelPooler> poolers;
    std::vector<std::pair<std::string, std::uint64_t>> endedRuns;
    bool isOverloaded = false;
    std::size_t delivered = 0;
    std::size_t checked = 0;
};

} // namespace

Test(fleet_controller_properties, one_primary,
     .description = "No target is promoted while a pooler may use another one as the primary")
{
    std::size_t promotions = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        FleetModel model(seed);
        model.run();
        promotions += model.promotions();
    }
    cr_assert_gt(promotions, Seeds / 2, "too few promotions for a meaningful result: %zu",
                 promotions);
}
