// What callers do: the seeded choice of the next operation of a mix.
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

// Shares lie between 0 and 1.
struct Mix
{
    double reads = 0;
    // Of the reads; the rest is `latest`.
    double boundedReads = 0;
    double sessionReads = 0;
    // Of the writes.
    double transactions = 0;
    // Of all operations: those that continue the session through another proxy.
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
    // Writes of a transaction; 1 otherwise.
    std::uint32_t statements = 1;
    bool roams = false;
};

// Same seed, same operations.
class Workload
{
public:
    Workload(Mix workloadMix, std::vector<GroupId> databaseGroups, std::uint64_t seed);

    PlannedOperation next();
    const Mix &mix() const { return this->shares; }
    std::mt19937_64 &randomness() { return this->random; }
    // Uniform in [0, count).
    std::size_t pick(std::size_t count);
    // Uniform in [0, 1).
    double fraction();

private:
    OperationKind drawKind();

    Mix shares;
    std::vector<GroupId> groups;
    std::mt19937_64 random;
};

} // namespace rhubarbweir
