// See workload.hpp.
#include "programs/load/workload.hpp"

#include <utility>

namespace rhubarbweir {

Mix mixOf(MixName name)
{
    Mix mix;
    if (name == MixName::Lakeshore) {
        mix.reads = 0.92;
        mix.boundedReads = 0.80;
        mix.sessionReads = 0.15;
        return mix;
    }
    mix.reads = 0.70;
    mix.boundedReads = 0.40;
    mix.sessionReads = 0.45;
    mix.transactions = 1.0 / 3;
    return mix;
}

Workload::Workload(Mix workloadMix, std::vector<GroupId> databaseGroups, std::uint64_t seed)
    : shares(workloadMix)
    , groups(std::move(databaseGroups))
    , random(seed)
{
}

PlannedOperation Workload::next()
{
    PlannedOperation planned;
    planned.kind = this->drawKind();
    planned.group = this->groups[this->pickIndex(this->groups.size())];
    if (planned.kind == OperationKind::Transaction)
        planned.statements = static_cast<std::uint32_t>(2 + this->pickIndex(2));
    planned.changesProxy = this->randomFraction() < this->shares.roaming;
    return planned;
}

std::size_t Workload::pickIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

double Workload::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

OperationKind Workload::drawKind()
{
    if (this->randomFraction() >= this->shares.reads) {
        const bool isTransaction = this->randomFraction() < this->shares.transactions;
        return isTransaction ? OperationKind::Transaction : OperationKind::Write;
    }
    const double drawn = this->randomFraction();
    if (drawn < this->shares.boundedReads)
        return OperationKind::BoundedRead;
    if (drawn < this->shares.boundedReads + this->shares.sessionReads)
        return OperationKind::SessionRead;
    return OperationKind::LatestRead;
}

} // namespace rhubarbweir
