#include "host/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hickoryloft::host {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";
// Begins a line that is no field; servers keep connections open with such
// lines.
constexpr char kComment = ':';
// The first id of a server that numbers its events.
constexpr std::int64_t kFirstNumber = 1;

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

std::optional<std::int64_t> ToNumber(std::string_view id) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(id.data(), id.data() + id.size(), number);
  if (error != std::errc{} || end != id.data() + id.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

void EventSplitter::BeginAnswer() {
  m_partial.clear();
  m_misplaced = false;
  m_first_id_expected = true;
  m_events_before_answer = m_events;
}

std::string EventSplitter::Feed(std::string_view bytes) {
  m_partial.append(bytes);
  const std::size_t whole = CompleteLength(m_partial);
  if (whole == 0 || m_misplaced) {
    return {};
  }
  std::string events = m_partial.substr(0, whole);
  m_partial.erase(0, whole);
  if (!RecordEvents(events)) {
    m_misplaced = true;
    return {};
  }
  return events;
}

bool EventSplitter::RecordEvents(std::string_view events) {
  int count = 0;
  bool has_field = false;
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(events.size(), end + 1));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      count += has_field ? 1 : 0;
      has_field = false;
      continue;
    }
    has_field = has_field || !line.starts_with(kComment);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
      if (!RecordId(line)) {
        return false;
      }
    }
  }
  m_events += count;
  return true;
}

bool EventSplitter::RecordId(std::string_view id) {
  const bool first = std::exchange(m_first_id_expected, false);
  const auto number = ToNumber(id);
  const auto last = ToNumber(m_last_id);
  if (first && !m_last_id.empty()) {
    const bool repeats =
        id == m_last_id || (number && last && *number <= *last);
    const bool leaves_gap = number && last && *number > *last + 1 &&
                            m_ids_consecutive.value_or(false);
    if (repeats || leaves_gap) {
      return false;
    }
  }
  if (m_last_id.empty() && number == kFirstNumber) {
    m_ids_consecutive = true;
  } else if (!m_last_id.empty()) {
    m_ids_consecutive = m_ids_consecutive.value_or(true) && number && last &&
                        *number == *last + 1;
  }
  m_last_id = std::string(id);
  return true;
}

}  // namespace hickoryloft::host
