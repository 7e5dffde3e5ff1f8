// Splits an event stream into whole events, so that a stream that breaks off
// can be resumed without a torn event.

#ifndef SOURCE_HOST_EVENT_SPLITTER_H_
#define SOURCE_HOST_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace hickoryloft::host {

// Not thread-safe.
class EventSplitter {
 public:
  // Adds bytes and returns the whole events that are now there, as received.
  std::string Feed(std::string_view bytes);
  // Returns what is left at a stream's proper end.
  std::string TakeRest();
  void DropRest() { m_rest.clear(); }
  // Bytes of an event that is not whole yet.
  std::size_t rest_bytes() const { return m_rest.size(); }

  // The id of the last whole event, empty before the first one.
  const std::string& last_id() const { return m_last_id; }
  int events() const { return m_events; }

 private:
  void NoteIds(std::string_view events);

  std::string m_rest;
  std::string m_last_id;
  int m_events = 0;
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_EVENT_SPLITTER_H_
