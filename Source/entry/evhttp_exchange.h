// Implements CallerExchange with evhttp.

#ifndef SOURCE_ENTRY_EVHTTP_EXCHANGE_H_
#define SOURCE_ENTRY_EVHTTP_EXCHANGE_H_

#include <event2/http.h>

#include <memory>

#include "entry/caller_exchange.h"

struct bufferevent;

namespace hickoryloft::entry {

class CallerServer;

// Owned by the server until the answer is sent or the caller disconnects. Its
// methods may still be called after that and then send nothing. Use on the
// loop's thread only.
class EvhttpExchange : public CallerExchange {
 public:
  EvhttpExchange(CallerServer& server,
                 evhttp_request* request,
                 MonotonicTime received_at);

  const CallerRequest& request() const override { return m_content; }
  void Send(int status,
            const endpoint::HeaderFields& headers,
            std::string_view body) override;
  void StartStream(int status, const endpoint::HeaderFields& headers) override;
  void SendChunk(std::string_view piece) override;
  void EndStream() override;
  std::size_t PendingBytes() const override;
  void Watch(std::function<void()> on_drained,
             std::function<void()> on_disconnect) override;

  // Closes the connection as if the caller had disconnected.
  void Abort();

 private:
  static void OnClosed(evhttp_connection* connection, void* self);
  static void OnDrained(evhttp_connection* connection, void* self);
  static void OnSent(evhttp_request* request, void* server);

  bufferevent* Buffer() const;
  void AddHeaders(const endpoint::HeaderFields& headers);
  // Drops the callbacks and returns the request to evhttp, which frees it once
  // the answer is sent.
  evhttp_request* ReleaseRequest();

  CallerServer& m_server;
  evhttp_request* m_request;  // Null once answered or disconnected.
  CallerRequest m_content;
  std::function<void()> m_on_drained;
  std::function<void()> m_on_disconnect;
};

// Copies the method, path, query and headers of `request`, and moves its body
// out. Thread-safe.
CallerRequest ReadCallerRequest(evhttp_request* request,
                                MonotonicTime received_at);

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_EVHTTP_EXCHANGE_H_
