// Messages between proxies: an entry proxy forwards a request to a proxy that holds a grant.
#pragma once

#include "rhubarbweir/coordination/proxy/caller_messages.hpp"

namespace rhubarbweir {

// First message on a connection between proxies.
struct PeerHello
{
    InstanceId instance;
};

struct ForwardRequest
{
    // Unique for the sending proxy's process.
    std::uint64_t forwardId = 0;
    CallerRequest request;
};

struct ForwardAnswer
{
    std::uint64_t forwardId = 0;
    CallerAnswer answer;
    // Load of the holder's group when it answered, for choosing between holders.
    std::uint32_t queued = 0;
    std::uint32_t slotsFree = 0;
};

// The entry proxy lost its caller: the holder ends the transaction.
struct EndTransaction
{
    GroupId group;
    SessionId session;
    std::uint64_t transaction = 0;
};

} // namespace rhubarbweir
