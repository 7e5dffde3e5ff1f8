// The HTTP server for callers.

#ifndef SOURCE_ENTRY_CALLER_SERVER_H_
#define SOURCE_ENTRY_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "base/event_loop.h"
#include "entry/caller_exchange.h"
#include "entry/connection_watch.h"
#include "entry/entry_settings.h"

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace hickoryloft::entry {

class EvhttpExchange;

// Accepts callers' connections and passes each request to the handler. evhttp
// itself answers requests that it cannot parse with 400, 413 or 501. Use on the
// loop's thread only.
class CallerServer {
 public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  // Starts to listen. Throws Error(kInvalidArgument) for an invalid address,
  // Error(kIo) if it cannot be bound.
  CallerServer(EventLoop& loop,
               const SocketSetting& listen,
               const CallerLimits& limits,
               Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  std::uint16_t port() const { return m_port; }
  // Returns the number of unanswered requests.
  std::size_t open_exchanges() const { return m_exchanges.size(); }
  std::size_t connections() const { return m_watch.size(); }

  // Makes every later answer close its connection.
  void CloseAfterAnswers() { m_close_after_answers = true; }
  void StopListening();
  // Closes the connections of all unanswered requests.
  void AbortAll();

 private:
  friend class EvhttpExchange;

  static void OnRequest(evhttp_request* request, void* self);
  static bufferevent* OnConnection(event_base* base, void* self);

  void Listen(const SocketSetting& listen);
  void PauseOrResumeAccepting();
  bool closing() const { return m_close_after_answers; }
  evbuffer* scratch() const { return m_scratch; }
  void SetTimeouts(bufferevent* buffer, bool answering) const;
  void OnAnswered(bufferevent* buffer) { m_watch.OnAnswered(buffer); }
  std::shared_ptr<EvhttpExchange> RemoveExchange(
      const EvhttpExchange* exchange);

  EventLoop& m_loop;
  CallerLimits m_limits;
  Handler m_handler;
  ConnectionWatch m_watch;
  evhttp* m_http;
  evbuffer* m_scratch;
  evhttp_bound_socket* m_bound_socket = nullptr;
  evconnlistener* m_listener = nullptr;  // Owned by m_bound_socket.
  std::uint16_t m_port = 0;
  bool m_close_after_answers = false;
  std::unordered_map<const EvhttpExchange*, std::shared_ptr<EvhttpExchange>>
      m_exchanges;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_CALLER_SERVER_H_
