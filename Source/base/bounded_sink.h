// The log sink of a serving process: never waits for its reader, and bounds how
// often a kind of line may appear.

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

// Counts the lines of each kind in the current second. Not thread-safe; the
// times given must not decrease.
class LineBudget {
 public:
  explicit LineBudget(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  // Returns whether one more line of `kind` may be written at `now`.
  bool Admit(std::string_view kind, MonotonicTime now);

  // Returns the number of lines refused since the last call.
  std::uint64_t TakeDropped();

 private:
  struct Second {
    MonotonicTime m_began;
    std::uint32_t m_lines = 0;
  };

  std::uint32_t m_lines_per_second;
  std::uint64_t m_dropped = 0;
  std::unordered_map<std::string, Second> m_kinds;
};

// Writes each line with one system call to a descriptor that is switched to
// non-blocking mode. A line of more than PIPE_BUF bytes, or for which the
// reader leaves no room is dropped and counted; the next line that fits is
// preceded by the count. Thread-safe.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Returns the body of the line that tells how many were dropped.
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
