// Fuzzes the HTTP message parser: input fed at once and byte by byte gives the
// same result, and no byte after the end of a message is consumed.

#include <cstdlib>
#include <utility>

#include "fuzz_target.h"
#include "http/message_parser.h"

namespace {

using namespace hickoryloft::http;

constexpr std::size_t kMaxHeadBytes = 4096;

struct ParseResult {
  MessageHead m_head;
  std::string m_body;
  int m_head_count = 0;
  int m_end_count = 0;
  std::size_t m_consumed = 0;
  bool m_complete = false;
  bool m_failed = false;
};

ParseResult Parse(MessageType type,
                  std::string_view input,
                  std::size_t chunk_size) {
  ParseResult result;
  MessageParser parser(
      type, kMaxHeadBytes,
      {.m_head =
           [&](MessageHead&& head) {
             result.m_head = std::move(head);
             ++result.m_head_count;
           },
       .m_body = [&](std::string_view bytes) { result.m_body += bytes; },
       .m_end = [&] { ++result.m_end_count; }});
  while (result.m_consumed < input.size() && !parser.complete() &&
         parser.error() == ParseError::kNone) {
    const std::string_view chunk = input.substr(result.m_consumed, chunk_size);
    const std::size_t consumed = parser.Feed(chunk);
    if (consumed > chunk.size() ||
        (consumed < chunk.size() && !parser.complete() &&
         parser.error() == ParseError::kNone)) {
      std::abort();
    }
    result.m_consumed += consumed;
  }
  result.m_complete = parser.complete();
  result.m_failed = parser.error() != ParseError::kNone;
  return result;
}

void CheckChunkingIndependence(MessageType type, std::string_view input) {
  const ParseResult at_once = Parse(type, input, input.size());
  const ParseResult byte_by_byte = Parse(type, input, 1);
  if (at_once.m_head_count > 1 || at_once.m_end_count > 1 ||
      (at_once.m_complete && at_once.m_end_count != 1)) {
    std::abort();
  }
  if (at_once.m_complete != byte_by_byte.m_complete ||
      at_once.m_failed != byte_by_byte.m_failed ||
      at_once.m_head_count != byte_by_byte.m_head_count) {
    std::abort();
  }
  if (at_once.m_complete &&
      (at_once.m_consumed != byte_by_byte.m_consumed ||
       at_once.m_body != byte_by_byte.m_body ||
       at_once.m_head.m_target != byte_by_byte.m_head.m_target ||
       at_once.m_head.m_headers.size() !=
           byte_by_byte.m_head.m_headers.size())) {
    std::abort();
  }
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input = InputText(data, size);
  CheckChunkingIndependence(MessageType::kRequest, input);
  CheckChunkingIndependence(MessageType::kResponse, input);
  return 0;
}
