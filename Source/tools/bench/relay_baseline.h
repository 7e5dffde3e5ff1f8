// Minimal HTTP relay to a single target, the baseline for measurements of
// loft-entry.

#ifndef SOURCE_TOOLS_BENCH_RELAY_BASELINE_H_
#define SOURCE_TOOLS_BENCH_RELAY_BASELINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/event_loop.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace hickoryloft::tools {

struct RelaySettings {
  std::string m_listen_address;
  std::uint16_t m_listen_port = 0;
  std::string m_target_address;
  std::uint16_t m_target_port = 0;
};

// Forwards every request to one target over reused connections and streams the
// response back. Validates nothing. Use on the loop's thread only.
class RelayBaseline {
 public:
  // Starts listening. Throws Error(kIo) if it cannot.
  RelayBaseline(EventLoop& loop, const RelaySettings& settings);
  ~RelayBaseline();
  RelayBaseline(const RelayBaseline&) = delete;
  RelayBaseline& operator=(const RelayBaseline&) = delete;

 private:
  struct Exchange;

  static void OnRequest(evhttp_request* request, void* self);
  static int OnResponseHeaders(evhttp_request* response, void* exchange);
  static void OnResponseChunk(evhttp_request* response, void* exchange);
  static void OnResponseEnd(evhttp_request* response, void* exchange);
  static void OnCallerDisconnected(evhttp_connection* connection,
                                   void* exchange);

  evhttp_connection* AcquireConnection();
  void Forward(evhttp_request* request);

  EventLoop& m_loop;
  RelaySettings m_settings;
  evhttp* m_server;
  std::vector<evhttp_connection*> m_idle_connections;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_BENCH_RELAY_BASELINE_H_
