#include "base/peer_liveness.h"

#include <catch2/catch.hpp>
#include <string>

using namespace hickoryloft;

namespace {

struct Row {
  std::string m_what;
  PeerSilence m_silence;
  bool m_gone;
};

PeerSilence Sent(Duration stalled_for,
                 int retransmissions,
                 Duration since_received,
                 Duration since_sent) {
  return {.m_stalled_for = stalled_for,
          .m_unacknowledged_segments = 2,
          .m_retransmissions = retransmissions,
          .m_since_received = since_received,
          .m_since_sent = since_sent};
}

PeerSilence Probed(Duration stalled_for,
                   int unanswered,
                   Duration since_received) {
  return {.m_stalled_for = stalled_for,
          .m_unanswered_probes = unanswered,
          .m_since_received = since_received,
          .m_since_sent = stalled_for};
}

}  // namespace

// Guards against answers that are cut because a peer reads slowly (LOST,
// review/12), and against peers that vanish unnoticed.
TEST_CASE("A peer is gone if it leaves transmissions unanswered for seconds") {
  const auto row = GENERATE(values<Row>({
      {"sent just now",
       Sent(milliseconds(20), 0, milliseconds(20), milliseconds(20)), false},
      {"sent after a long idle time",
       Sent(seconds(1), 0, seconds(60), seconds(1)), false},
      {"sent after a long idle time, one segment lost",
       Sent(seconds(1), 1, seconds(60), milliseconds(600)), false},
      {"sent again just now, the answer on its way",
       Sent(seconds(4), 4, seconds(4), milliseconds(50)), false},
      {"sent again, no answer",
       Sent(seconds(4), 4, seconds(4), milliseconds(800)), true},
      {"no answer, and the system reports no retransmission",
       Sent(seconds(4), 0, Duration{}, Duration{}), true},
      {"dropped for want of memory, each transmission answered",
       Sent(seconds(40), 6, seconds(10), seconds(10)), false},
      {"window closed for long, the last probe answered",
       Probed(seconds(90), 0, seconds(25)), false},
      {"window closed for long, one probe lost",
       Probed(seconds(90), 1, seconds(50)), false},
      {"window closed, the last probes on their way",
       Probed(seconds(90), 3, milliseconds(2900)), false},
      {"window closed, no probe answered",
       Probed(milliseconds(3100), 3, milliseconds(3100)), true},
  }));
  CAPTURE(row.m_what);
  CHECK(IsPeerGone(row.m_silence) == row.m_gone);
}
