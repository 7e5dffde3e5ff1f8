// Stand-in for a model server or a plain service on the Jarro platform.

#ifndef STANDINS_JARRO_SERVER_H_
#define STANDINS_JARRO_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "StandIns/jarro_store.h"

namespace hickoryloft::standins {

struct JarroServerSettings {
  std::string m_id;
  std::string m_service;
  std::string m_zone = "z1";
  Duration m_cold_for{};
  std::set<std::string> m_models;   // Loaded initially.
  std::set<std::string> m_on_disk;  // Models with a copy on disk.
  double m_memory_megabytes = 200000;
  double m_model_megabytes = 70000;
  bool m_is_engine = false;  // Otherwise a plain service.
};

// Registers itself in the store, executes orders, answers requests, and records
// both. Use on the loop's thread only.
class JarroServer {
 public:
  JarroServer(EventLoop& loop, JarroStore& store, JarroServerSettings settings);

  // Writes the server's registration, with `state`, to the store.
  void Register(const std::string& state);
  // Registers the server in another zone.
  void MoveTo(const std::string& zone) {
    m_settings.m_zone = zone;
    Register("ready");
  }
  // Registers the server as cold for `time`.
  void TurnCold(Duration time) {
    m_settings.m_cold_for = time;
    Register("ready");
  }
  // Aborts the next stream that gets past `events` events; never if negative.
  void AbortStreamAfter(int events) { m_abort_after_events = events; }
  // Refuses new connections and closes idle ones, as after a crash. The
  // registration stays in the store.
  void Crash() {
    m_http.StopListening();
    m_http.CloseIdle();
  }
  // Announces in response headers that the server is leaving; its registration
  // does not say so.
  void AnnounceLeaving() { m_announces_leaving = true; }
  // Names in response headers a limit of requests a second, from all callers;
  // none if it is 0.
  void NameLimit(double requests_per_second) {
    m_named_limit = requests_per_second;
  }
  // Rejects requests with status 503 and Retry-After for `duration`.
  void RejectRequests(Duration duration) {
    m_reject_until = m_loop.Now() + duration;
  }
  // Answers the requests that it executes with an endless body.
  void SendEndlessBodies() { m_sends_endless_bodies = true; }
  // Sends streams one byte at a time and never ends them.
  void TrickleStreams() { m_trickles_streams = true; }
  // Sets the time between two events of a stream.
  void SetEventInterval(Duration interval) { m_event_interval = interval; }
  // Delays responses that are not streams by `delay`.
  void SetResponseDelay(Duration delay) { m_response_delay = delay; }

  // Returns the requests that were executed (with ids, accounts and keys), the
  // orders that were received, and the state of the server.
  nlohmann::json Record() const;

 private:
  using Exchange = std::shared_ptr<http::ServerExchange>;

  void Handle(const Exchange& exchange);
  // Adds the id of the request, if it has one.
  static http::HeaderFields Echo(const Exchange& exchange,
                                 http::HeaderFields headers = {});
  void ExecuteOrder(const Exchange& exchange);
  void SendReport(const Exchange& exchange);
  void ExecuteRequest(const Exchange& exchange);
  void Stream(const Exchange& exchange, int next, const std::string& signature);
  // Sends `piece` every `interval` until the connection is closed.
  void Repeat(const Exchange& exchange,
              const std::string& piece,
              Duration interval);
  http::HeaderFields AnswerHeaders(const std::string& id) const;

  EventLoop& m_loop;
  JarroStore& m_store;
  JarroServerSettings m_settings;
  http::Server m_http;
  int m_registrations = 0;
  std::int64_t m_accepted_orders = 0;
  bool m_busy = false;
  int m_abort_after_events = -1;
  Duration m_response_delay{};
  Duration m_event_interval = milliseconds(15);
  bool m_announces_leaving = false;
  double m_named_limit = 0;
  bool m_sends_endless_bodies = false;
  bool m_trickles_streams = false;
  MonotonicTime m_reject_until;
  int m_rejected_requests = 0;
  std::map<std::string, std::set<std::string>> m_adapters;
  nlohmann::json m_executed_requests = nlohmann::json::array();
  nlohmann::json m_order_log = nlohmann::json::array();
  bool m_memory_exceeded = false;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_JARRO_SERVER_H_
