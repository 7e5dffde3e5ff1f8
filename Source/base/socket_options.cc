#include "base/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "base/log.h"

namespace hickoryloft {

namespace {

// Keep-alive probes of an idle connection: the time before the first one, the
// interval between them, and the number of lost ones after which the peer is
// considered dead.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 3;

const Logger kLog("sockets");

void SetOption(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void DisableNagle(int socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void DetectDeadPeer(int socket) {
  // Not TCP_USER_TIMEOUT: it also closes the connection of a peer that answers
  // each window probe but keeps its window closed for the time.
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
}

std::size_t UnacknowledgedBytes(int socket) {
  int bytes = 0;
  if (ioctl(socket, SIOCOUTQ, &bytes) != 0) {
    kLog.Warn("cannot read the output queue of a socket; taking it for empty",
              {{"reason", std::strerror(errno)}});
    return 0;
  }
  return static_cast<std::size_t>(std::max(0, bytes));
}

PeerSilence ReadPeerSilence(int socket, Duration stalled_for) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    kLog.Warn("cannot read the state of a connection; taking it for sound",
              {{"reason", std::strerror(errno)}});
    return {};
  }
  return {.m_stalled_for = stalled_for,
          .m_unacknowledged_segments = static_cast<int>(info.tcpi_unacked),
          .m_retransmissions = info.tcpi_retransmits,
          .m_unanswered_probes = info.tcpi_probes,
          .m_since_received = milliseconds(info.tcpi_last_ack_recv),
          .m_since_sent = milliseconds(info.tcpi_last_data_sent)};
}

timeval ToTimeval(Duration duration) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::int64_t micros =
      std::max<std::int64_t>(0, duration_cast<microseconds>(duration).count());
  timeval value{};
  value.tv_sec = micros / kMicrosPerSecond;
  value.tv_usec = micros % kMicrosPerSecond;
  return value;
}

}  // namespace hickoryloft
