// Splits an event stream into complete events, so that an interrupted stream
// can be resumed without relaying part of an event.

#ifndef SOURCE_HOST_EVENT_SPLITTER_H_
#define SOURCE_HOST_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace hickoryloft::host {

// Not thread-safe.
class EventSplitter {
 public:
  // Appends bytes and returns the events that they complete, unchanged.
  std::string Feed(std::string_view bytes);
  // Returns and clears the incomplete event; call at the regular end of a
  // stream.
  std::string ExtractPartial();
  void DropPartial() { m_partial.clear(); }
  // Size of the incomplete event in bytes.
  std::size_t partial_bytes() const { return m_partial.size(); }

  // The last event id in the complete events; empty if there was none.
  const std::string& last_id() const { return m_last_id; }
  int events() const { return m_events; }

 private:
  void RecordIds(std::string_view events);

  std::string m_partial;
  std::string m_last_id;
  int m_events = 0;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_EVENT_SPLITTER_H_
