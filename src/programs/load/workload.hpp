// Generates the operations of a workload mix with a seeded random number generator.
#pragma once

#include "rhubarbweir/coordination/proxy/caller_messages.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace rhubarbweir {

enum class MixName {
    Lakeshore,
    Rallye,
};

template<>
struct EnumNames<MixName>
{
    static constexpr std::string_view Names[] = {"lakeshore", "rallye"};
};

// A workload mix; shares are between 0 and 1.
struct Mix
{
    double reads = 0;
    // Shares of the reads; the remaining ones are latest reads.
    double boundedReads = 0;
    double sessionReads = 0;
    // Share of the writes.
    double transactions = 0;
    // Share of all operations that switch the session to another proxy first.
    double roaming = 0.02;
    Duration maxAge = std::chrono::seconds(3);
};

Mix mixOf(MixName name);

enum class OperationKind {
    BoundedRead,
    SessionRead,
    LatestRead,
    Write,
    Transaction,
    AskOutcome,
};

template<>
struct EnumNames<OperationKind>
{
    static constexpr std::string_view Names[] = {"bounded_read", "session_read", "latest_read",
                                                 "write",        "transaction",  "ask_outcome"};
};

struct PlannedOperation
{
    OperationKind kind = OperationKind::SessionRead;
    GroupId group;
    // Number of writes in a transaction; 1 for other operations.
    std::uint32_t statements = 1;
    // Whether the session switches to another proxy first.
    bool changesProxy = false;
};

// Generates the same operations for the same seed.
class Workload
{
public:
    Workload(Mix workloadMix, std::vector<GroupId> databaseGroups, std::uint64_t seed);

    PlannedOperation next();
    const Mix &mix() const { return this->shares; }
    std::mt19937_64 &generator() { return this->random; }
    // Uniform in [0, count).
    std::size_t pickIndex(std::size_t count);
    // Uniform in [0, 1).
    double randomFraction();

private:
    OperationKind drawKind();

    Mix shares;
    std::vector<GroupId> groups;
    std::mt19937_64 random;
};

} // namespace rhubarbweir
