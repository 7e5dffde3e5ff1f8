// Watches callers' connections for requests that arrive too slowly.

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

// evhttp's own timeout starts again at every byte, so a caller that sends a
// byte now and then could hold a connection for ever. This counts from the
// first byte of a request to its last. Use on the loop's thread only.
class ConnectionWatch {
 public:
  static constexpr Duration kSweepInterval = milliseconds(250);

  // `closed` is called after connections have gone.
  ConnectionWatch(EventLoop& loop,
                  Duration request_timeout,
                  std::function<void()> closed);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch&) = delete;
  ConnectionWatch& operator=(const ConnectionWatch&) = delete;

  // Returns the buffer of a new connection, for evhttp to own.
  bufferevent* NewBuffer();
  // A whole request has arrived on `buffer`. Returns whether it is the first
  // one of its connection.
  bool OnRequest(bufferevent* buffer);
  // Its answer has been sent.
  void OnAnswered(bufferevent* buffer);

  std::size_t size() const { return m_connections.size(); }

 private:
  struct Watched {
    EventLoop* m_loop = nullptr;
    bool m_answering = false;
    bool m_served_before = false;
    std::optional<MonotonicTime> m_request_began;
  };

  static void OnInput(evbuffer* input,
                      const evbuffer_cb_info* change,
                      void* watched);
  void Sweep();

  EventLoop& m_loop;
  Duration m_request_timeout;
  std::function<void()> m_closed;
  // Holds a reference on each buffer, so that the sweep can see which ones
  // evhttp has let go.
  std::unordered_map<bufferevent*, std::unique_ptr<Watched>> m_connections;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_CONNECTION_WATCH_H_
