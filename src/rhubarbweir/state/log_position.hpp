// Position in a database group's replicated log.
#pragma once

#include <cstdint>
#include <tuple>

namespace rhubarbweir {

// Ordered by term first, because logs of different terms may have diverged after a common prefix.
struct LogPosition
{
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    friend bool operator==(const LogPosition &a, const LogPosition &b)
    {
        return a.term == b.term && a.position == b.position;
    }
    friend bool operator!=(const LogPosition &a, const LogPosition &b) { return !(a == b); }
    friend bool operator<(const LogPosition &a, const LogPosition &b)
    {
        return std::tie(a.term, a.position) < std::tie(b.term, b.position);
    }
};

// Whether a database that has applied its log up to `applied` reflects everything up to `wanted`.
// Both fields are compared: a lower position in a newer term does not cover `wanted`.
inline bool covers(const LogPosition &applied, const LogPosition &wanted)
{
    return applied.term >= wanted.term && applied.position >= wanted.position;
}

} // namespace rhubarbweir
