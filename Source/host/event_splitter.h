// Splits an event stream into complete events, so that an interrupted stream
// can be resumed without relaying part of an event.

#ifndef SOURCE_HOST_EVENT_SPLITTER_H_
#define SOURCE_HOST_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hickoryloft::host {

// Receives the answers that make up one stream, one after the other. Not
// thread-safe.
class EventSplitter {
 public:
  // `resumed_after`: id of the last event that the caller already has; empty if
  // it has none.
  explicit EventSplitter(std::string resumed_after = "")
      : m_last_id(std::move(resumed_after)) {}

  // Starts the next answer, which is expected to continue after last_id(). An
  // incomplete event of the answer before it is dropped.
  void BeginAnswer();
  // Appends bytes and returns the events that they complete, unchanged. Returns
  // nothing from the first id on that shows that the answer continues the
  // stream at another place.
  std::string Feed(std::string_view bytes);
  // Whether the current answer does not continue after the last id: it repeats
  // events or leaves some out.
  bool misplaced() const { return m_misplaced; }
  // Size of the incomplete event in bytes.
  std::size_t partial_bytes() const { return m_partial.size(); }

  // The last event id in the complete events; empty if there was none.
  const std::string& last_id() const { return m_last_id; }
  // Complete events in all answers, and in the current one.
  int events() const { return m_events; }
  int answer_events() const { return m_events - m_events_before_answer; }

 private:
  // Returns false if an id shows that the answer is misplaced.
  bool RecordEvents(std::string_view events);
  bool RecordId(std::string_view id);

  std::string m_partial;
  std::string m_last_id;
  int m_events = 0;
  int m_events_before_answer = 0;
  bool m_misplaced = false;
  // Whether no event of the current answer has had an id yet.
  bool m_first_id_expected = false;
  // Whether every id so far was the previous one plus one; absent if nothing
  // tells yet.
  std::optional<bool> m_ids_consecutive;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_EVENT_SPLITTER_H_
