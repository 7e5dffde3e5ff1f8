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
  std::set<std::string> m_models;   // Loaded initially.
  std::set<std::string> m_on_disk;  // Models with a copy on disk.
  double m_megabytes = 200000;
  double m_model_megabytes = 70000;
  bool m_engine = false;
};

// Registers itself in the store, executes orders, answers requests, and records
// both. Use on the loop's thread only.
class JarroServer {
 public:
  JarroServer(EventLoop& loop, JarroStore& store, JarroServerSettings settings);

  // Writes the server's registration, with `state`, to the store.
  void Register(const std::string& state);
  // Aborts the next stream that gets past `events` events; never if negative.
  void BreakOffAfter(int events) { m_break_after = events; }
  // Refuses new connections and closes idle ones, as after a crash. The
  // registration stays in the store.
  void Crash() {
    m_http.StopListening();
    m_http.CloseIdle();
  }
  // Announces in response headers that the server is leaving; its registration
  // does not say so.
  void SayLeaving() { m_says_leaving = true; }
  // Rejects requests with status 503 and Retry-After for the duration `pause`.
  void TurnAway(Duration pause) { m_away_until = m_loop.Now() + pause; }
  // Answers the requests that it executes with an endless body.
  void Babble() { m_babbles = true; }
  // Sends streams one byte at a time and never ends them.
  void Trickle() { m_trickles = true; }
  // Sets the time between two events of a stream.
  void PaceEvents(Duration pause) { m_event_pause = pause; }
  // Delays responses that are not streams by `work`.
  void AnswerAfter(Duration work) { m_work = work; }

  // Returns the requests that were executed (with ids, accounts and keys), the
  // orders that were received, and the state of the server.
  nlohmann::json Seen() const;

 private:
  using Exchange = std::shared_ptr<http::ServerExchange>;

  void Handle(const Exchange& exchange);
  void TakeOrder(const Exchange& exchange);
  void Report(const Exchange& exchange);
  void Run(const Exchange& exchange);
  void Stream(const Exchange& exchange, int next, const std::string& signature);
  // Sends `piece` at intervals of `pause` until the connection is closed.
  void Repeat(const Exchange& exchange,
              const std::string& piece,
              Duration pause);
  http::HeaderFields AnswerHeaders(const std::string& id) const;

  EventLoop& m_loop;
  JarroStore& m_store;
  JarroServerSettings m_settings;
  http::Server m_http;
  int m_beats = 0;
  std::int64_t m_orders = 0;
  bool m_busy = false;
  int m_break_after = -1;
  Duration m_work{};
  Duration m_event_pause = milliseconds(15);
  bool m_says_leaving = false;
  bool m_babbles = false;
  bool m_trickles = false;
  MonotonicTime m_away_until;
  int m_turned_away = 0;
  std::map<std::string, std::set<std::string>> m_adapters;
  nlohmann::json m_runs = nlohmann::json::array();
  nlohmann::json m_order_log = nlohmann::json::array();
  bool m_overloaded = false;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_JARRO_SERVER_H_
