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

// The peer is considered dead if sent data is not acknowledged for this long,
// which is enough for several retransmissions.
constexpr milliseconds kUnacknowledgedTimeout{3000};
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
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kUnacknowledgedTimeout.count()));
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
