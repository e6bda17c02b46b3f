// Socket options common to all connections.
#pragma once

namespace rhubarbweir {

// Makes the kernel close a connection whose peer acknowledges nothing, because of a network
// partition or because the peer disappeared without a reset.
void enableDeadPeerDetection(int socket);

} // namespace rhubarbweir
