#include "host/event_splitter.h"

#include <algorithm>

namespace hickoryloft::host {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

// Returns the length of `text` up to the end of its last complete event.
std::size_t CompleteLength(std::string_view text) {
  const std::size_t plain = text.rfind(kEventEnd);
  const std::size_t crlf = text.rfind(kEventEndCrLf);
  const std::size_t plain_end =
      plain == std::string_view::npos ? 0 : plain + kEventEnd.size();
  const std::size_t crlf_end =
      crlf == std::string_view::npos ? 0 : crlf + kEventEndCrLf.size();
  return std::max(plain_end, crlf_end);
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  m_partial.append(bytes);
  const std::size_t whole = CompleteLength(m_partial);
  if (whole == 0) {
    return {};
  }
  std::string events = m_partial.substr(0, whole);
  m_partial.erase(0, whole);
  RecordIds(events);
  return events;
}

void EventSplitter::BeginAnswer() {
  m_partial.clear();
  m_events_before_answer = m_events;
}

void EventSplitter::RecordIds(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(events.size(), end + 1));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      ++m_events;
    } else if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
      m_last_id = std::string(line);
    }
  }
}

}  // namespace hickoryloft::host
