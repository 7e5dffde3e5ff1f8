// Fuzzes the HTTP message parser: input fed at once and byte by byte gives the
// same result, and no byte after the end of a message is consumed.

#include <cstdlib>
#include <utility>

#include "fuzz_target.h"
#include "http/message_parser.h"

namespace {

using namespace hickoryloft::http;

constexpr std::size_t kMaxHeadBytes = 4096;

struct Found {
  MessageHead m_head;
  std::string m_body;
  int m_heads = 0;
  int m_ends = 0;
  std::size_t m_taken = 0;
  bool m_complete = false;
  bool m_failed = false;
};

Found Parse(MessageType type, std::string_view input, std::size_t piece) {
  Found found;
  MessageParser parser(
      type, kMaxHeadBytes,
      {.m_head =
           [&](MessageHead&& head) {
             found.m_head = std::move(head);
             ++found.m_heads;
           },
       .m_body = [&](std::string_view bytes) { found.m_body += bytes; },
       .m_end = [&] { ++found.m_ends; }});
  while (found.m_taken < input.size() && !parser.complete() &&
         parser.error() == ParseError::kNone) {
    const std::string_view next = input.substr(found.m_taken, piece);
    const std::size_t taken = parser.Feed(next);
    if (taken > next.size() || (taken < next.size() && !parser.complete() &&
                                parser.error() == ParseError::kNone)) {
      std::abort();
    }
    found.m_taken += taken;
  }
  found.m_complete = parser.complete();
  found.m_failed = parser.error() != ParseError::kNone;
  return found;
}

void Check(MessageType type, std::string_view input) {
  const Found whole = Parse(type, input, input.size());
  const Found bytes = Parse(type, input, 1);
  if (whole.m_heads > 1 || whole.m_ends > 1 ||
      (whole.m_complete && whole.m_ends != 1)) {
    std::abort();
  }
  if (whole.m_complete != bytes.m_complete ||
      whole.m_failed != bytes.m_failed || whole.m_heads != bytes.m_heads) {
    std::abort();
  }
  if (whole.m_complete &&
      (whole.m_taken != bytes.m_taken || whole.m_body != bytes.m_body ||
       whole.m_head.m_target != bytes.m_head.m_target ||
       whole.m_head.m_headers.size() != bytes.m_head.m_headers.size())) {
    std::abort();
  }
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input = InputText(data, size);
  Check(MessageType::kRequest, input);
  Check(MessageType::kResponse, input);
  return 0;
}
