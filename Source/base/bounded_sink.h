// The log sink of a serving process, which never blocks on its reader, and a
// limit on how often lines with the same message are written.

#ifndef SOURCE_BASE_BOUNDED_SINK_H_
#define SOURCE_BASE_BOUNDED_SINK_H_

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/time.h"

namespace hickoryloft {

// Limits the number of lines of each kind per second. Not thread-safe; the
// times passed in must not decrease.
class LineRateLimiter {
 public:
  explicit LineRateLimiter(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  // Returns whether one more line of `kind` may be written at `now`.
  bool Admit(std::string_view kind, MonotonicTime now);

  // Returns the number of lines refused since the last call and resets it.
  std::uint64_t ConsumeDropped();

 private:
  struct Window {
    MonotonicTime m_start;
    std::uint32_t m_lines = 0;
  };

  std::uint32_t m_lines_per_second;
  std::uint64_t m_dropped = 0;
  std::unordered_map<std::string, Window> m_windows;
};

// Writes each line with one system call to a descriptor, which it switches to
// non-blocking mode. A line is dropped and counted if it is longer than
// PIPE_BUF bytes or if the descriptor's buffer is full; the next line that is
// written is preceded by a notice with the count. Thread-safe.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Returns the message of the notice that `dropped` lines were dropped.
  using DropNotice = std::function<std::string(std::uint64_t dropped)>;

  // Does not own `descriptor`.
  BoundedSink(int descriptor, DropNotice notice);

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  bool Write(std::string_view line);

  int m_descriptor;
  DropNotice m_notice;
  std::uint64_t m_dropped = 0;
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_BOUNDED_SINK_H_
