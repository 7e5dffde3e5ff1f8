#include "keyvalue/http_client.h"

#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <optional>

#include "keyvalue/evhttp_connection_holder.h"

namespace hickoryloft::keyvalue {

namespace {

// Returns the error for a request that failed on an established connection.
Error FailureOf(std::optional<evhttp_request_error> cause) {
  if (cause == EVREQ_HTTP_INVALID_HEADER || cause == EVREQ_HTTP_DATA_TOO_LONG) {
    return {ErrorCode::kProtocol, "the answer is not valid HTTP"};
  }
  return {ErrorCode::kOutcomeUnknown,
          "the connection ended before the whole answer"};
}

std::vector<std::pair<std::string, std::string>> CopyHeaders(
    evhttp_request* raw) {
  std::vector<std::pair<std::string, std::string>> headers;
  const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    headers.emplace_back(field->key, field->value);
  }
  return headers;
}

Error NotConnected() {
  return {ErrorCode::kUnavailable, "the connection could not be established"};
}

}  // namespace

std::string HttpReply::Header(const std::string& name) const {
  for (const auto& [key, value] : m_headers) {
    if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

// One connection of the pool, which handles one call at a time.
class HttpClient::Slot {
 public:
  explicit Slot(HttpClient& client) : m_client(client) {}

  bool idle() const { return !m_callback; }

  // Precondition: idle().
  void Start(QueuedCall call) {
    m_callback = std::move(call.m_callback);
    m_cause.reset();
    if (!m_connection) {
      m_connection =
          MakeEvhttpConnection(m_client.m_loop, m_client.m_settings.m_address,
                               m_client.m_settings.m_port);
    }
    m_timer = m_client.m_loop.After(call.m_deadline - m_client.m_loop.Now(),
                                    [this] { OnTimeout(); });
    evhttp_request* raw = evhttp_request_new(&Slot::OnDone, this);
    evhttp_request_set_error_cb(raw, &Slot::OnError);
    if (!StartRequest(m_connection.get(), raw, call.m_request,
                      m_client.m_settings.m_user_agent)) {
      Complete(NotConnected());
    }
  }

 private:
  static void OnError(evhttp_request_error cause, void* self) {
    static_cast<Slot*>(self)->m_cause = cause;
  }

  static void OnDone(evhttp_request* raw, void* self) {
    auto* slot = static_cast<Slot*>(self);
    if (raw == nullptr) {
      slot->Complete(FailureOf(slot->m_cause));
      return;
    }
    const int status = evhttp_request_get_response_code(raw);
    if (status == 0) {
      slot->Complete(NotConnected());
      return;
    }
    slot->Complete(HttpReply{.m_status = status,
                             .m_body = DrainInput(raw),
                             .m_headers = CopyHeaders(raw)});
  }

  void OnTimeout() {
    const bool established = IsEstablished(m_connection.get());
    m_connection.reset();
    Complete(established ? Error(ErrorCode::kTimedOut, "no answer in time")
                         : NotConnected());
  }

  // Reports from the loop, because the library's callback must not destroy its
  // own connection and the caller's callback may destroy the client.
  void Complete(Result<HttpReply> result) {
    m_timer.reset();
    m_client.m_loop.Post([this, alive = std::weak_ptr(m_client.m_alive),
                          result = std::move(result)]() mutable {
      if (alive.expired()) {
        return;
      }
      const auto callback = std::exchange(m_callback, nullptr);
      m_client.StartNext();
      callback(std::move(result));
    });
  }

  HttpClient& m_client;
  EvhttpConnectionHolder m_connection;
  std::function<void(Result<HttpReply>)> m_callback;
  std::optional<evhttp_request_error> m_cause;
  std::unique_ptr<Timer> m_timer;
};

namespace {

// One streamed answer on a separate connection.
class EvhttpStream : public HttpStream {
 public:
  EvhttpStream(EventLoop& loop,
               Duration idle_timeout,
               std::function<void(std::string)> received,
               std::function<void(Error)> ended)
      : m_loop(loop),
        m_idle_timeout(idle_timeout),
        m_received(std::move(received)),
        m_ended(std::move(ended)) {}

  void Start(const HttpClientSettings& settings, const HttpRequest& request) {
    m_connection =
        MakeEvhttpConnection(m_loop, settings.m_address, settings.m_port);
    RestartIdleTimer();
    evhttp_request* raw = evhttp_request_new(&EvhttpStream::OnDone, this);
    evhttp_request_set_chunked_cb(raw, &EvhttpStream::OnChunk);
    if (!StartRequest(m_connection.get(), raw, request,
                      settings.m_user_agent)) {
      End(NotConnected());
    }
  }

 private:
  static constexpr int kStatusOk = 200;

  static void OnChunk(evhttp_request* raw, void* self) {
    auto* stream = static_cast<EvhttpStream*>(self);
    std::string bytes = DrainInput(raw);
    if (evhttp_request_get_response_code(raw) != kStatusOk) {
      return;
    }
    stream->RestartIdleTimer();
    stream->Report([stream, bytes = std::move(bytes)]() mutable {
      stream->m_received(std::move(bytes));
    });
  }

  static void OnDone(evhttp_request* raw, void* self) {
    auto* stream = static_cast<EvhttpStream*>(self);
    const int status =
        raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
    if (status != 0 && status != kStatusOk) {
      stream->End({ErrorCode::kProtocol,
                   "the server answered status " + std::to_string(status)});
      return;
    }
    stream->End({ErrorCode::kUnavailable, "the stream ended"});
  }

  void RestartIdleTimer() {
    m_idle_timer = m_loop.After(m_idle_timeout, [this] {
      End({ErrorCode::kTimedOut, "nothing arrived in time"});
    });
  }

  void End(Error error) {
    m_idle_timer.reset();
    Report([this, error = std::move(error)] {
      if (const auto ended = std::exchange(m_ended, nullptr)) {
        ended(error);
      }
    });
  }

  // Runs `report` from the loop unless the stream is destroyed first.
  void Report(std::function<void()> report) {
    m_loop.Post([alive = std::weak_ptr(m_alive), report = std::move(report)] {
      if (!alive.expired()) {
        report();
      }
    });
  }

  EventLoop& m_loop;
  Duration m_idle_timeout;
  std::function<void(std::string)> m_received;
  std::function<void(Error)> m_ended;
  EvhttpConnectionHolder m_connection;
  std::unique_ptr<Timer> m_idle_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

HttpClient::HttpClient(EventLoop& loop, HttpClientSettings settings)
    : m_loop(loop), m_settings(std::move(settings)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest request,
                      std::function<void(Result<HttpReply>)> callback) {
  if (m_queue.size() >= m_settings.m_max_queued) {
    m_loop.Post([callback = std::move(callback)] {
      callback(Error(ErrorCode::kUnavailable, "too many calls are queued"));
    });
    return;
  }
  m_queue.push_back({.m_request = std::move(request),
                     .m_deadline = m_loop.Now() + m_settings.m_timeout,
                     .m_callback = std::move(callback)});
  StartNext();
}

std::unique_ptr<HttpStream> HttpClient::Stream(
    const HttpRequest& request,
    Duration idle_timeout,
    std::function<void(std::string)> received,
    std::function<void(Error)> ended) {
  auto stream = std::make_unique<EvhttpStream>(
      m_loop, idle_timeout, std::move(received), std::move(ended));
  stream->Start(m_settings, request);
  return stream;
}

HttpClient::Slot* HttpClient::FindIdleSlot() {
  for (const auto& slot : m_slots) {
    if (slot->idle()) {
      return slot.get();
    }
  }
  if (m_slots.size() >= m_settings.m_max_connections) {
    return nullptr;
  }
  m_slots.push_back(std::make_unique<Slot>(*this));
  return m_slots.back().get();
}

void HttpClient::StartNext() {
  FailExpired();
  while (!m_queue.empty()) {
    Slot* slot = FindIdleSlot();
    if (slot == nullptr) {
      break;
    }
    QueuedCall call = std::move(m_queue.front());
    m_queue.pop_front();
    slot->Start(std::move(call));
  }
  m_expiry_timer.reset();
  if (!m_queue.empty()) {
    m_expiry_timer = m_loop.After(m_queue.front().m_deadline - m_loop.Now(),
                                  [this] { StartNext(); });
  }
}

void HttpClient::FailExpired() {
  const MonotonicTime now = m_loop.Now();
  while (!m_queue.empty() && m_queue.front().m_deadline <= now) {
    m_loop.Post([callback = std::move(m_queue.front().m_callback),
                 alive = std::weak_ptr(m_alive)] {
      if (!alive.expired()) {
        callback(Error(ErrorCode::kUnavailable,
                       "the call waited too long for a connection"));
      }
    });
    m_queue.pop_front();
  }
}

}  // namespace hickoryloft::keyvalue
