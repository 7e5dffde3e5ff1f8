// Decides from the system's figures on a TCP connection whether its peer is
// gone. Uses no socket.

#ifndef SOURCE_BASE_PEER_LIVENESS_H_
#define SOURCE_BASE_PEER_LIVENESS_H_

#include "base/time.h"

namespace hickoryloft {

// What a peer that has not acknowledged all data has answered.
struct PeerSilence {
  Duration m_stalled_for{};  // Since the peer acknowledged any new byte.
  // Segments sent and not acknowledged. 0: the peer's window is closed, and
  // only window probes are sent.
  int m_unacknowledged_segments = 0;
  // Times that the oldest segment has been sent again.
  int m_retransmissions = 0;
  // Window probes since the peer's last segment.
  int m_unanswered_probes = 0;
  Duration m_since_received{};  // Since the peer's last segment.
  Duration m_since_sent{};      // Since data was last sent, or sent again.
};

// Whether the peer has left data or several window probes unanswered for about
// three seconds. A peer that reads slowly may keep its window closed for any
// time, but answers. Thread-safe.
bool IsPeerGone(const PeerSilence& silence);

}  // namespace hickoryloft

#endif  // SOURCE_BASE_PEER_LIVENESS_H_
