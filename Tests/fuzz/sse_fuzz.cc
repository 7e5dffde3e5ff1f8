// Fuzzes the parser of server-sent events: the result does not depend on how
// the stream is split into chunks.

#include <cstdlib>
#include <string>

#include "endpoint/sse_parser.h"
#include "fuzz_target.h"

namespace {

// Parses `text` in chunks of `chunk_size` bytes until an event is malformed.
// Returns the text of the events and adds their number of tokens to `tokens`.
std::string ParseInChunks(const std::string& text,
                          std::size_t chunk_size,
                          std::uint64_t& tokens) {
  hickoryloft::endpoint::SseParser parser;
  std::string result;
  for (std::size_t offset = 0; offset < text.size(); offset += chunk_size) {
    const auto events = parser.Feed(text.substr(offset, chunk_size));
    result += events.m_text;
    tokens += events.m_tokens;
    if (events.m_malformed) {
      break;
    }
  }
  return result;
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text = InputText(data, size);
  std::uint64_t whole_tokens = 0;
  std::uint64_t split_tokens = 0;
  const std::string whole = ParseInChunks(text, text.size() + 1, whole_tokens);
  const std::string split = ParseInChunks(text, 3, split_tokens);
  if (whole != split || whole_tokens != split_tokens) {
    std::abort();
  }
  return 0;
}
