// Splits a stream of server-sent events into whole events.

#ifndef SOURCE_ENDPOINT_SSE_PARSER_H_
#define SOURCE_ENDPOINT_SSE_PARSER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hickoryloft::endpoint {

// The whole events that one piece of a stream completed.
struct SseBatch {
  std::string_view m_text;     // The events as received, ends included.
  std::uint64_t m_tokens = 0;  // Data events that carry a token.
  bool m_last_event = false;   // One that states why the output ended.
  bool m_finished = false;     // The final marker "[DONE]".
  bool m_malformed = false;    // An event passed the size limit.
};

// Cuts a byte stream at event boundaries, so that a stream that breaks midway
// has delivered whole events only. Engines send one token an event, and a last
// one that states the finish reason. Not thread-safe.
class SseParser {
 public:
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  // Adds `bytes` and returns the events completed by them. The view is valid
  // until the next call.
  SseBatch Feed(std::string_view bytes);

  // Drops the incomplete event, before another stream continues this one.
  void Reset();

 private:
  static void CountEvent(std::string_view event, SseBatch& batch);

  std::string m_buffer;
  std::size_t m_delivered = 0;  // Bytes at the front that were returned.
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_SSE_PARSER_H_
