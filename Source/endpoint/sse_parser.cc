#include "endpoint/sse_parser.h"

namespace hickoryloft::endpoint {

namespace {

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kFinalMarker = "[DONE]";

// Returns whether `data` has a finish reason. A search is sufficient: quotes in
// a JSON string are escaped, so generated text cannot contain the member's name
// in quotes.
bool HasFinishReason(std::string_view data) {
  constexpr std::string_view kMember = "\"finish_reason\":";
  const std::size_t at = data.find(kMember);
  if (at == std::string_view::npos) {
    return false;
  }
  const std::size_t value = data.find_first_not_of(' ', at + kMember.size());
  return value != std::string_view::npos && data[value] == '"';
}

std::string_view StripLineEnd(std::string_view line) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

void SseParser::CountEvent(std::string_view event, SseBatch& batch) {
  std::size_t start = 0;
  while (start < event.size()) {
    const std::size_t end = event.find('\n', start);
    std::string_view line = StripLineEnd(event.substr(start, end - start));
    if (line.starts_with(kDataField)) {
      line.remove_prefix(kDataField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      if (line == kFinalMarker) {
        batch.m_done_marker = true;
      } else if (HasFinishReason(line)) {
        batch.m_has_finish_reason = true;
      } else {
        ++batch.m_tokens;
      }
      return;
    }
    if (end == std::string_view::npos) {
      return;
    }
    start = end + 1;
  }
}

SseBatch SseParser::Feed(std::string_view bytes) {
  m_buffer.erase(0, m_delivered);
  m_delivered = 0;
  m_buffer.append(bytes);

  SseBatch batch;
  std::size_t line_start = 0;
  std::size_t event_start = 0;
  while (true) {
    const std::size_t line_end = m_buffer.find('\n', line_start);
    if (line_end == std::string::npos) {
      break;
    }
    const std::string_view line = StripLineEnd(
        std::string_view(m_buffer).substr(line_start, line_end - line_start));
    line_start = line_end + 1;
    if (line.empty()) {
      CountEvent(std::string_view(m_buffer).substr(event_start,
                                                   line_start - event_start),
                 batch);
      event_start = line_start;
    }
  }
  m_delivered = event_start;
  batch.m_text = std::string_view(m_buffer).substr(0, m_delivered);
  batch.m_malformed = m_buffer.size() - m_delivered > kMaxEventBytes;
  return batch;
}

void SseParser::Reset() {
  m_buffer.clear();
  m_delivered = 0;
}

}  // namespace hickoryloft::endpoint
