// Identifies a request. It is stored together with the request's effect, so that a resent request
// is not executed twice.
#pragma once

#include "rhubarbweir/state/ids.hpp"

#include <cstdint>
#include <tuple>

namespace rhubarbweir {

struct RequestKey
{
    SessionId session;
    // Chosen by the caller; unique within the session.
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
