#include "base/peer_liveness.h"

namespace hickoryloft {

namespace {

// Enough for several retransmissions.
constexpr Duration kSilence = seconds(3);
constexpr int kMinUnansweredProbes = 3;
// Longer than the round trip between two regions.
constexpr Duration kAnswerTime = milliseconds(500);

}  // namespace

bool IsPeerGone(const PeerSilence& silence) {
  if (silence.m_stalled_for < kSilence) {
    return false;
  }
  if (silence.m_unacknowledged_segments == 0) {
    return silence.m_unanswered_probes >= kMinUnansweredProbes &&
           silence.m_since_received >= kSilence;
  }
  if (silence.m_retransmissions == 0) {
    return true;
  }
  // A peer without memory drops the data, but answers each retransmission. The
  // pauses between these grow, so it can be silent for long before the next.
  const bool answered = silence.m_since_received <= silence.m_since_sent;
  return !answered && silence.m_since_sent >= kAnswerTime;
}

}  // namespace hickoryloft
