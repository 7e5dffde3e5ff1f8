#include "base/output_watch.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <algorithm>
#include <utility>

#include "base/peer_liveness.h"
#include "base/socket_options.h"

namespace hickoryloft {

OutputWatch::OutputWatch(EventLoop& loop, Callback checked)
    : m_loop(loop), m_checked(std::move(checked)) {}

void OutputWatch::Start(bufferevent* buffer) {
  m_buffer = buffer;
  m_written = 0;
  m_acknowledged = 0;
  if (const std::size_t waiting =
          evbuffer_get_length(bufferevent_get_output(buffer))) {
    AddOutput(waiting);
  }
}

void OutputWatch::Stop() {
  m_buffer = nullptr;
  m_timer.reset();
}

void OutputWatch::AddOutput(std::size_t bytes) {
  if (m_buffer == nullptr) {
    return;
  }
  m_written += bytes;
  if (m_timer == nullptr) {
    m_stalled_checks = 0;
    m_timer = m_loop.Every(kInterval, [this] { Check(); });
  }
}

std::size_t OutputWatch::Unacknowledged() const {
  return m_buffer == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(m_buffer)) +
                   UnacknowledgedBytes(bufferevent_getfd(m_buffer));
}

void OutputWatch::Check() {
  OutputState state{.m_unacknowledged = Unacknowledged()};
  const std::uint64_t acknowledged =
      m_written - std::min<std::uint64_t>(m_written, state.m_unacknowledged);
  // Counts checks, because time also passes while this host is suspended or
  // this process is stopped.
  m_stalled_checks = acknowledged > m_acknowledged ? 0 : m_stalled_checks + 1;
  m_acknowledged = std::max(m_acknowledged, acknowledged);
  if (state.m_unacknowledged == 0) {
    m_timer.reset();
  } else {
    state.m_stalled_for = m_stalled_checks * kInterval;
    state.m_peer_gone = state.m_stalled_for > Duration{} &&
                        IsPeerGone(ReadPeerSilence(bufferevent_getfd(m_buffer),
                                                   state.m_stalled_for));
  }
  // A copy, because the callback may destroy the watch.
  const Callback checked = m_checked;
  checked(state);
}

}  // namespace hickoryloft
