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
  std::set<std::string> m_models;   // Loaded at the start.
  std::set<std::string> m_on_disk;  // Copies besides.
  double m_megabytes = 200000;
  double m_model_megabytes = 70000;
  bool m_engine = false;
};

// Registers itself in the store, carries out orders, answers requests, and
// records what it has seen. Use on the loop's thread only.
class JarroServer {
 public:
  JarroServer(EventLoop& loop, JarroStore& store, JarroServerSettings settings);

  void Register(const std::string& state);
  // Breaks the next answers off after this many events; negative: never.
  void BreakOffAfter(int events) { m_break_after = events; }
  // Refuses connections and closes idle ones, as after a crash; its
  // registration stays.
  void Crash() {
    m_http.StopListening();
    m_http.CloseIdle();
  }
  // Says in its answers that it leaves; its registration does not.
  void SayLeaving() { m_says_leaving = true; }
  // Turns requests away for so long, and says so.
  void TurnAway(Duration pause) { m_away_until = m_loop.Now() + pause; }
  // Sends bytes without end in place of answers.
  void Babble() { m_babbles = true; }
  // Sends streams a byte at a time, and never the end of one.
  void Trickle() { m_trickles = true; }
  // Sends the events of streams this far apart.
  void PaceEvents(Duration pause) { m_event_pause = pause; }
  // Answers that are no streams are sent this long after their request.
  void AnswerAfter(Duration work) { m_work = work; }

  // Ids, accounts and keys of requests that it ran, and orders that it got.
  nlohmann::json Seen() const;

 private:
  using Exchange = std::shared_ptr<http::ServerExchange>;

  void Handle(const Exchange& exchange);
  void TakeOrder(const Exchange& exchange);
  void Report(const Exchange& exchange);
  void Run(const Exchange& exchange);
  void Stream(const Exchange& exchange, int next, const std::string& signature);
  // Sends `piece` again and again, until the connection is closed.
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
