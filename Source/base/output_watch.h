// Watches whether the peer of a TCP connection takes the output.

#ifndef SOURCE_BASE_OUTPUT_WATCH_H_
#define SOURCE_BASE_OUTPUT_WATCH_H_

#include <cstdint>
#include <functional>

#include "base/event_loop.h"

struct bufferevent;

namespace hickoryloft {

// The output of a connection at a check.
struct OutputState {
  // Bytes that the peer has not acknowledged, in this process and in the
  // system. The end of the output counts as one byte.
  std::size_t m_unacknowledged = 0;
  // The time in which the peer acknowledged nothing, in whole intervals in
  // which this process ran.
  Duration m_stalled_for{};
  bool m_peer_gone = false;
};

// Checks the output once a second until the peer has acknowledged all of it.
// Use on the loop's thread only.
class OutputWatch {
 public:
  static constexpr Duration kInterval = seconds(1);
  // What the end of the output counts as.
  static constexpr std::size_t kEndBytes = 1;

  // Called from the loop after each check, the last time with m_unacknowledged
  // 0. May destroy the watch.
  using Callback = std::function<void(const OutputState&)>;

  OutputWatch(EventLoop& loop, Callback checked);
  OutputWatch(const OutputWatch&) = delete;
  OutputWatch& operator=(const OutputWatch&) = delete;

  // Watches `buffer`, whose socket is connected, with the output that it has.
  // It must not be freed before Stop().
  void Start(bufferevent* buffer);
  // Ends the checks. The watch can be started again.
  void Stop();
  // `bytes` have been written to the buffer. No effect unless started.
  void AddOutput(std::size_t bytes);
  // Returns the number of bytes that the peer has not acknowledged; 0 unless
  // started.
  std::size_t Unacknowledged() const;
  // Whether output was unacknowledged at the last check or has been added
  // since.
  bool checking() const { return m_timer != nullptr; }

 private:
  void Check();

  EventLoop& m_loop;
  Callback m_checked;
  bufferevent* m_buffer = nullptr;
  std::uint64_t m_written = 0;
  std::uint64_t m_acknowledged = 0;
  int m_stalled_checks = 0;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_OUTPUT_WATCH_H_
