// Ownership of one outgoing evhttp connection.

#ifndef SOURCE_KEYVALUE_EVHTTP_CONNECTION_HOLDER_H_
#define SOURCE_KEYVALUE_EVHTTP_CONNECTION_HOLDER_H_

#include <cstdint>
#include <memory>
#include <string>

struct evhttp_connection;
struct evhttp_request;

namespace hickoryloft {
class EventLoop;
}

namespace hickoryloft::keyvalue {

struct HttpRequest;

struct EvhttpConnectionDeleter {
  void operator()(evhttp_connection* connection) const;
};
using EvhttpConnectionHolder =
    std::unique_ptr<evhttp_connection, EvhttpConnectionDeleter>;

// Returns a connection object that connects at its first request. Throws
// Error(kIo).
EvhttpConnectionHolder MakeEvhttpConnection(EventLoop& loop,
                                            const std::string& address,
                                            std::uint16_t port);

// Returns whether the TCP connection is established, in which case bytes may
// have been sent.
bool IsEstablished(evhttp_connection* connection);

// Copies headers and body into `raw` and starts it on `connection`, which then
// owns it. Returns whether the request was started.
bool StartRequest(evhttp_connection* connection,
                  evhttp_request* raw,
                  const HttpRequest& request,
                  const std::string& user_agent);

// Returns and consumes the bytes that have arrived for `raw`.
std::string DrainInput(evhttp_request* raw);

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_EVHTTP_CONNECTION_HOLDER_H_
