// One entry with a scripted coordinator, two engines, a plain service and a
// caller, all on one loop.

#ifndef TESTS_ENTRY_ENTRY_FIXTURE_H_
#define TESTS_ENTRY_ENTRY_FIXTURE_H_

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/engine_stand_in.h"
#include "StandIns/service_stand_in.h"
#include "endpoint/pooled_http_client.h"
#include "entry/entry_daemon.h"
#include "wire/listener.h"

namespace hickoryloft::entry {

constexpr Duration kTestLimit = seconds(10);

inline const std::string kKey = "till-1-secret-key";
inline const std::string kOtherKey = "till-2-secret-key";
inline const std::string kNotesServedName = "returns/notes@3";

class MockTokenGate : public TokenGate {
 public:
  MAKE_MOCK4(Reserve,
             void(const ClientAccountId&,
                  std::uint64_t,
                  Duration,
                  std::function<void(Result<TokenDecision>)>),
             override);
  MAKE_MOCK2(Refund, void(const ClientAccountId&, std::uint64_t), override);
  MAKE_MOCK0(ReturnAll, void(), override);
};

class MockActionGate : public ActionGate {
 public:
  MAKE_MOCK3(Begin,
             void(const ActionRequest&,
                  Duration,
                  std::function<void(Result<ActionDecision>)>),
             override);
  MAKE_MOCK5(Finish,
             void(const ActionRequest&,
                  std::uint64_t,
                  ActionResult,
                  const RecordedAnswer&,
                  std::function<void(bool)>),
             override);
};

// Returns the text of the test's document: accounts counter (kKey) and clerk
// (kOtherKey), model notes, service ledger. Without `with_key`, counter's key
// is withdrawn.
std::string DocumentText(bool with_key = true);

// A coordinator of the host whose replies the test sets.
class ScriptedCoordinator {
 public:
  explicit ScriptedCoordinator(EventLoop& loop);

  void Notify(const wire::EnvelopeT& notice);
  void SetDocument(const std::string& text);
  void CloseAll();

  std::uint16_t port() const { return m_listener->port(); }

  std::uint32_t m_valid_for_ms = 60000;
  Revision m_revision = 10;
  std::string m_document = DocumentText();
  std::function<std::optional<wire::DemandReplyT>(const wire::DemandRequestT&)>
      m_on_demand;
  std::vector<wire::DemandRequestT> m_demands;
  int m_hello_count = 0;
  bool m_answering = true;

 private:
  void Accept(int socket);
  void OnMessage(std::size_t index, const wire::EnvelopeT& message);

  EventLoop& m_loop;
  std::vector<std::shared_ptr<wire::Connection>> m_connections;
  std::unique_ptr<wire::Listener> m_listener;
};

// An answer as the caller received it.
struct ReceivedAnswer {
  endpoint::AnswerHead m_head;
  std::string m_body;
  bool m_done = false;
  std::optional<ErrorCode> m_failure;

  bool ended() const { return m_done || m_failure.has_value(); }
  nlohmann::json Json() const { return nlohmann::json::parse(m_body); }
  // Returns the last part of the problem's type, or "".
  std::string ProblemType() const;
  // Returns the concatenated texts of a completion stream.
  std::string StreamText() const;
};

class EntryFixture {
 public:
  explicit EntryFixture(const std::string& extra_settings = "");
  ~EntryFixture();

  // Starts a request. The result is updated as the answer arrives.
  std::shared_ptr<ReceivedAnswer> Start(endpoint::CallRequest request);
  // Runs a request to its end.
  ReceivedAnswer Run(endpoint::CallRequest request);
  void Disconnect(const std::shared_ptr<ReceivedAnswer>& answer);

  endpoint::CallRequest Get(const std::string& target) const;
  endpoint::CallRequest Completion(bool stream = false,
                                   int tokens = 5,
                                   const std::string& key = kKey) const;
  endpoint::CallRequest ServiceCall(const std::string& path,
                                    endpoint::HeaderFields headers = {}) const;

  // Runs the loop until `condition` holds; fails the test after kTestLimit.
  void RunUntil(const std::function<bool()>& condition);
  void RunFor(Duration time);

  // Loads the model on an engine, without an update to the entry.
  void LoadModel(standins::EngineStandIn& engine);
  // Sends the entry a full endpoint update with the engines and the service;
  // the engines in `ready` are listed with a ready replica of the model.
  void PublishEndpoints(
      const std::vector<const standins::EngineStandIn*>& ready);
  // Returns the value of the first metrics line that starts with `line_start`,
  // or 0.
  double Metric(const std::string& line_start);

  EventLoop m_loop;
  ScriptedCoordinator m_coordinator{m_loop};
  standins::EngineStandIn m_engine1;
  standins::EngineStandIn m_engine2;
  standins::ServiceStandIn m_service;
  MockTokenGate* m_tokens = nullptr;
  MockActionGate* m_actions = nullptr;
  std::vector<std::unique_ptr<trompeloeil::expectation>> m_expectations;
  std::uint64_t m_reserved = 0;
  std::uint64_t m_refunded = 0;
  int m_return_all_calls = 0;
  bool m_over_rate = false;
  std::unique_ptr<EntryDaemon> m_daemon;
  bool m_stopped = false;  // The daemon has stopped the loop.

 private:
  Gates MakeGates();

  endpoint::PooledHttpClient m_caller;
  std::map<const ReceivedAnswer*, std::unique_ptr<endpoint::Call>> m_calls;
  std::uint64_t m_last_order_number = 0;
};

}  // namespace hickoryloft::entry

#endif  // TESTS_ENTRY_ENTRY_FIXTURE_H_
