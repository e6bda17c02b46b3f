// A place in a database group's replicated log.
#pragma once

#include <cstdint>
#include <tuple>

namespace rhubarbweir {

// Ordered by term first: positions of different terms may be on diverged tails.
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

// Whether a database whose last applied entry is at `applied` shows everything up to `wanted`.
// Both parts are compared: an entry of a newer term at a lower position does not cover `wanted`.
inline bool covers(const LogPosition &applied, const LogPosition &wanted)
{
    return applied.term >= wanted.term && applied.position >= wanted.position;
}

} // namespace rhubarbweir
