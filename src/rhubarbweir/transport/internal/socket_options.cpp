// See socket_options.hpp.
#include "rhubarbweir/transport/internal/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rhubarbweir {

namespace {

// Milliseconds for which sent bytes may stay unacknowledged. Allows for a few retransmissions on a
// lossy link.
constexpr unsigned UserTimeoutMs = 2000;
// Seconds without traffic before the first keep-alive probe, and between probes.
constexpr int KeepAliveIdle = 1;
constexpr int KeepAliveInterval = 1;
constexpr int KeepAliveProbes = 3;

template<typename Value>
void setOption(int socket, int level, int option, Value value)
{
    // Errors are ignored: if the kernel lacks an option, its default detects a dead peer later.
    (void)setsockopt(socket, level, option, &value, sizeof value);
}

} // namespace

void enableDeadPeerDetection(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdle);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveInterval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace rhubarbweir
