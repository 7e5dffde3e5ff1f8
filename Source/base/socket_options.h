// Options of TCP sockets, and times for the event library.

#ifndef SOURCE_BASE_SOCKET_OPTIONS_H_
#define SOURCE_BASE_SOCKET_OPTIONS_H_

#include <sys/time.h>

#include "base/time.h"

namespace hickoryloft {

// Sends small writes at once. Thread-safe.
void DisableNagle(int socket);

// Lets the system report a peer that no longer acknowledges data or probes: a
// connection may go silent without a reset. Thread-safe.
void DetectDeadPeer(int socket);

// Returns `duration` for the event library; negative ones become zero.
// Thread-safe.
timeval ToTimeval(Duration duration);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_SOCKET_OPTIONS_H_
