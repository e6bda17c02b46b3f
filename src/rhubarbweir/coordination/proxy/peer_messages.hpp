// Messages between proxies. An entry proxy forwards requests to a proxy that holds a grant.
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
    // Unique within the sending process.
    std::uint64_t forwardId = 0;
    CallerRequest request;
};

struct ForwardAnswer
{
    std::uint64_t forwardId = 0;
    CallerAnswer answer;
    // Load of the holder for this group when it answered; the entry proxy balances by it.
    std::uint32_t queued = 0;
    std::uint32_t slotsFree = 0;
};

// Sent by the entry proxy when its caller is gone; the holder aborts the transaction.
struct EndTransaction
{
    GroupId group;
    SessionId session;
    std::uint64_t transaction = 0;
};

} // namespace rhubarbweir
