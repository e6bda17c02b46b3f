// Socket options that all connections share.
#pragma once

namespace rhubarbweir {

// Lets the kernel break a connection whose peer acknowledges nothing: one behind a partition, or
// one that fell silent without a reset.
void detectDeadPeer(int socket);

} // namespace rhubarbweir
