// A connection of a session to one proxy.
#pragma once

#include "rhubarbweir/transport/connection.hpp"

#include <cstddef>

namespace rhubarbweir {

struct SessionLink
{
    std::size_t proxy = 0;
    // Null until the connection is made.
    ConnectionPtr connection;
    // The proxy has answered OpenSession.
    bool isOpened = false;
    // Takes no new request; closed when nothing waits for an answer on it.
    bool isRetiring = false;
    bool isLost = false;
    // Transactions pinned to it.
    std::size_t transactions = 0;
};

} // namespace rhubarbweir
