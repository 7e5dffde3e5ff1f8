// Fuzzes the parser of server-sent events: the result does not depend on how
// the stream is split into chunks.

#include <cstdlib>
#include <string>

#include "endpoint/sse_parser.h"
#include "fuzz_target.h"

namespace {

// Parses `text` in chunks of `piece` bytes until an event is malformed. Returns
// the text of the events and adds their number of tokens to `tokens`.
std::string Split(const std::string& text,
                  std::size_t piece,
                  std::uint64_t& tokens) {
  hickoryloft::endpoint::SseParser parser;
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    const auto batch = parser.Feed(text.substr(at, piece));
    out += batch.m_text;
    tokens += batch.m_tokens;
    if (batch.m_malformed) {
      break;
    }
  }
  return out;
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text = InputText(data, size);
  std::uint64_t whole_tokens = 0;
  std::uint64_t split_tokens = 0;
  const std::string whole = Split(text, text.size() + 1, whole_tokens);
  const std::string split = Split(text, 3, split_tokens);
  if (whole != split || whole_tokens != split_tokens) {
    std::abort();
  }
  return 0;
}
