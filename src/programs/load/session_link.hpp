// A session's connection to a proxy.
#pragma once

#include "rhubarbweir/transport/connection.hpp"

#include <cstddef>

namespace rhubarbweir {

struct SessionLink
{
    std::size_t proxy = 0;
    // Null until the connection is established.
    ConnectionPtr connection;
    // The proxy has answered OpenSession.
    bool isOpened = false;
    // No new requests are sent on it; it is closed after the last outstanding answer.
    bool isDraining = false;
    bool isLost = false;
    // Number of open transactions on this connection.
    std::size_t transactions = 0;
};

} // namespace rhubarbweir
