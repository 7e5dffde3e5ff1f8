// Closes callers' connections whose requests arrive too slowly.

#ifndef SOURCE_ENTRY_CONNECTION_WATCH_H_
#define SOURCE_ENTRY_CONNECTION_WATCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "base/event_loop.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace hickoryloft::entry {

// Limits the time from the first to the last byte of a request. evhttp's own
// timeout restarts at every byte, so a caller that sends single bytes could
// hold a connection indefinitely. Use on the loop's thread only.
class ConnectionWatch {
 public:
  static constexpr Duration kSweepInterval = milliseconds(250);

  // Calls `on_released` after evhttp has released connections.
  ConnectionWatch(EventLoop& loop,
                  Duration request_timeout,
                  std::function<void()> on_released);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  // Returns the buffer of a new connection, which evhttp then owns, or nullptr
  // if it cannot be allocated.
  bufferevent* NewBuffer();
  // Records that a complete request has arrived on `buffer`. Returns whether it
  // is the first one of its connection.
  bool OnRequest(bufferevent* buffer);
  // Records that the answer to a request on `buffer` has been sent.
  void OnAnswered(bufferevent* buffer);

  std::size_t size() const { return m_connections.size(); }

 private:
  struct ConnectionState {
    EventLoop* m_loop = nullptr;
    bool m_answering = false;
    bool m_had_request = false;
    std::optional<MonotonicTime> m_request_started_at;
  };

  static void OnInput(evbuffer* input,
                      const evbuffer_cb_info* change,
                      void* state);
  void Sweep();

  EventLoop& m_loop;
  Duration m_request_timeout;
  std::function<void()> m_on_released;
  // Holds a reference to each buffer, so that Sweep() can detect the ones that
  // evhttp has released.
  std::unordered_map<bufferevent*, std::unique_ptr<ConnectionState>>
      m_connections;
  std::unique_ptr<Timer> m_sweep_timer;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_CONNECTION_WATCH_H_
