// One call of EventHttpClient.

#ifndef SOURCE_ENDPOINT_EVENT_HTTP_EXCHANGE_H_
#define SOURCE_ENDPOINT_EVENT_HTTP_EXCHANGE_H_

#include <event2/http.h>

#include <memory>

#include "endpoint/event_http_client.h"

namespace hickoryloft::endpoint {

// Drives one evhttp request. Shared by the client and the Call that the user
// holds. Use on the loop's thread only.
class EventHttpExchange
    : public std::enable_shared_from_this<EventHttpExchange> {
 public:
  EventHttpExchange(EventHttpClient& client,
                    CallRequest request,
                    CallEvents events);

  void Start();
  void Cancel();
  void Pause();
  void Resume();

 private:
  static int OnHead(evhttp_request* request, void* self);
  static void OnBytes(evhttp_request* request, void* self);
  static void OnError(evhttp_request_error error, void* self);
  static void OnComplete(evhttp_request* request, void* self);

  evhttp_request* MakeRequest();
  void Complete(evhttp_request* request);
  void Fail(const Error& error);
  void CheckConnected();
  Error FailureOf(evhttp_request_error error) const;

  EventHttpClient& m_client;
  CallRequest m_request;
  CallEvents m_events;
  evhttp_connection* m_connection = nullptr;
  std::unique_ptr<Timer> m_connect_timer;
  evhttp_request_error m_error = EVREQ_HTTP_EOF;
  bool m_over = false;  // Done, failed or cancelled: no event may follow.
  bool m_paused = false;
};

}  // namespace hickoryloft::endpoint

#endif  // SOURCE_ENDPOINT_EVENT_HTTP_EXCHANGE_H_
