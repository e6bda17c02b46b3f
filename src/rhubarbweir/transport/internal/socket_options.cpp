// See socket_options.hpp.
#include "rhubarbweir/transport/internal/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rhubarbweir {

namespace {

// Milliseconds that sent bytes may stay unacknowledged: a few retransmissions on a lossy link.
constexpr unsigned UserTimeoutMs = 2000;
// Seconds without traffic before a probe, and between probes.
constexpr int KeepAliveIdle = 1;
constexpr int KeepAliveInterval = 1;
constexpr int KeepAliveProbes = 3;

template<typename Value>
void setOption(int socket, int level, int option, Value value)
{
    // An option that the kernel lacks leaves the default, which only detects later.
    (void)setsockopt(socket, level, option, &value, sizeof value);
}

} // namespace

void detectDeadPeer(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdle);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveInterval);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace rhubarbweir
