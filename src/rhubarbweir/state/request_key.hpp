// The identity of one request, stored with its effect so that a resend runs once.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <tuple>

namespace rhubarbweir {

struct RequestKey
{
    SessionId session;
    // Unique within the session, chosen by the caller.
    std::uint64_t request = 0;

    friend bool operator==(const RequestKey &a, const RequestKey &b)
    {
        return a.request == b.request && a.session == b.session;
    }
    friend bool operator!=(const RequestKey &a, const RequestKey &b) { return !(a == b); }
    friend bool operator<(const RequestKey &a, const RequestKey &b)
    {
        return std::tie(a.session, a.request) < std::tie(b.session, b.request);
    }
};

} // namespace rhubarbweir
