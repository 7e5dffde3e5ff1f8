// Splits a stream of server-sent events at event boundaries.

#ifndef SOURCE_ENDPOINT_SSE_PARSER_H_
#define SOURCE_ENDPOINT_SSE_PARSER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hickoryloft::endpoint {

// The events that were completed by one piece of a stream.
struct SseBatch {
  std::string_view m_text;     // As received, with terminating empty lines.
  std::uint64_t m_tokens = 0;  // Number of data events with a token.
  bool m_has_finish_reason = false;  // An event with a finish reason was seen.
  bool m_done_marker = false;        // The final marker "[DONE]" was seen.
  bool m_malformed = false;          // An event exceeded kMaxEventBytes.
};

// Returns complete events only, so that a stream that breaks off has never
// delivered part of an event. Engines send one token per event, followed by an
// event with the finish reason. Not thread-safe.
class SseParser {
 public:
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  // Appends `bytes` and returns the events completed by them. m_text is valid
  // until the next call.
  SseBatch Feed(std::string_view bytes);

  // Discards the incomplete event. Call it before the parser is fed from
  // another stream that continues this one.
  void Reset();

 private:
  static void CountEvent(std::string_view event, SseBatch& batch);

  std::string m_buffer;
  std::size_t m_delivered = 0;  // Length of the prefix already returned.
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_SSE_PARSER_H_
