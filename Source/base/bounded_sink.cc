#include "base/bounded_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <utility>

namespace hickoryloft {

bool LineRateLimiter::Admit(std::string_view kind, MonotonicTime now) {
  Window& window = m_windows[std::string(kind)];
  if (now - window.m_start >= seconds(1)) {
    window = {.m_start = now, .m_lines = 0};
  }
  if (window.m_lines >= m_lines_per_second) {
    ++m_dropped;
    return false;
  }
  ++window.m_lines;
  return true;
}

std::uint64_t LineRateLimiter::ConsumeDropped() {
  return std::exchange(m_dropped, 0);
}

BoundedSink::BoundedSink(int descriptor, DropNotice notice)
    : m_descriptor(descriptor), m_notice(std::move(notice)) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t formatted;
  formatter_->format(message, formatted);
  if (m_dropped > 0) {
    const std::string body = m_notice(m_dropped);
    spdlog::details::log_msg notice = message;
    notice.payload = body;
    spdlog::memory_buf_t line;
    formatter_->format(notice, line);
    if (Write({line.data(), line.size()})) {
      m_dropped = 0;
    }
  }
  if (!Write({formatted.data(), formatted.size()})) {
    ++m_dropped;
  }
}

bool BoundedSink::Write(std::string_view line) {
  // A write of more than PIPE_BUF bytes is not atomic and could be partial.
  if (line.size() > PIPE_BUF) {
    return false;
  }
  for (;;) {
    const ssize_t written = write(m_descriptor, line.data(), line.size());
    if (written >= 0 || errno != EINTR) {
      return written >= 0;
    }
  }
}

}  // namespace hickoryloft
