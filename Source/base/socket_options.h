// Options and state of TCP sockets, and conversion of durations for the event
// library.

#ifndef SOURCE_BASE_SOCKET_OPTIONS_H_
#define SOURCE_BASE_SOCKET_OPTIONS_H_

#include <sys/time.h>

#include <cstddef>

#include "base/peer_liveness.h"
#include "base/time.h"

namespace hickoryloft {

// Makes the system send small writes without delay. Thread-safe.
void DisableNagle(int socket);

// Makes the system close the connection if the peer no longer answers
// keep-alive probes: a peer can disappear without a reset. The system sends
// none while data is unacknowledged; see OutputWatch. Thread-safe.
void DetectDeadPeer(int socket);

// Returns the number of bytes in the system that the peer has not acknowledged,
// sent or not. The end of the output counts as one byte. Thread-safe.
std::size_t UnacknowledgedBytes(int socket);

// Returns what the system knows of the peer; m_stalled_for is `stalled_for`.
// Thread-safe.
PeerSilence ReadPeerSilence(int socket, Duration stalled_for);

// Converts `duration` for the event library; a negative one becomes zero.
// Thread-safe.
timeval ToTimeval(Duration duration);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_SOCKET_OPTIONS_H_
