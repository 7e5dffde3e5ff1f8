// A request to a stand-in server and its response.

#ifndef STANDINS_CALL_H_
#define STANDINS_CALL_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/event_loop.h"

struct evhttp_connection;
struct evhttp_request;

namespace hickoryloft::standins {

using Headers = std::map<std::string, std::string>;

// A pending request. It may be answered at once, later, as a stream, or never.
// Use on the loop's thread only, and not from within an evhttp callback.
class Call {
 public:
  // Takes ownership of `request`, which evhttp has just passed to its request
  // callback.
  explicit Call(evhttp_request* request);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  const std::string& method() const { return m_method; }
  // The path without the query.
  const std::string& path() const { return m_path; }
  const std::string& uri() const { return m_uri; }
  const std::string& body() const { return m_body; }
  // Header names are in lower case.
  const Headers& headers() const { return m_headers; }
  // Returns the header `name` (in lower case), or "".
  std::string Header(const std::string& name) const;
  // Returns the body as JSON, or null if it is not JSON.
  nlohmann::json Json() const;

  // Returns whether the call was answered, dropped or closed by the client.
  bool finished() const { return m_request == nullptr; }

  void Send(int status,
            const nlohmann::json& body,
            const Headers& headers = {});
  void StartStream(const std::string& content_type,
                   const Headers& headers = {});
  void SendChunk(const std::string& bytes);
  void EndStream();
  // Closes the connection without a response, or in the middle of a stream.
  void Drop();

  // Calls `callback` if the client closes the connection before the response
  // is complete.
  void OnClosed(std::function<void()> callback);

  // Keeps `timer` alive until the call is destroyed.
  void KeepTimer(std::unique_ptr<Timer> timer) { m_timer = std::move(timer); }

 private:
  static void OnConnectionClosed(evhttp_connection* connection, void* self);
  evhttp_request* Release();
  void AddHeaders(const Headers& headers);

  evhttp_request* m_request;
  std::string m_method;
  std::string m_uri;
  std::string m_path;
  std::string m_body;
  Headers m_headers;
  std::function<void()> m_on_closed;
  std::unique_ptr<Timer> m_timer;
};

using CallPtr = std::shared_ptr<Call>;

}  // namespace hickoryloft::standins

#endif  // STANDINS_CALL_H_
