#include "Tests/entry/entry_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/hashing.h"
#include "endpoint/http_order_service.h"
#include "endpoint/served_name.h"
#include "settings/settings_file.h"

namespace hickoryloft::entry {

namespace {

using trompeloeil::_;

constexpr Duration kPollInterval = milliseconds(2);
const std::string kSalt = "6f1c";

std::string AccountKeyText(const std::string& name, const std::string& key) {
  return "[accounts." + name + ".keys.k]\ndigest = \"" +
         SaltedDigest(kSalt, key) + "\"\n";
}

standins::EngineSettings FastEngine(const std::string& name) {
  return {.m_name = name, .m_decode = {.m_tokens_per_second_per_stream = 200}};
}

wire::EndpointStateT MakeEndpointState(const std::string& id,
                                       const standins::StandIn& server) {
  wire::EndpointStateT state;
  state.id = id;
  state.address = server.address();
  state.port = server.port();
  return state;
}

std::unique_ptr<wire::EndpointStateT> ToUniquePtr(wire::EndpointStateT state) {
  return std::make_unique<wire::EndpointStateT>(std::move(state));
}

}  // namespace

std::string DocumentText(bool with_key) {
  std::string text = "key_salt = \"" + kSalt + "\"\n";
  text += "default_patience_ms = 5000\n";
  text += "[models.notes]\nversion = \"3\"\nbytes = 1000\npeak_bytes = 1000\n";
  text += "max_replicas = 2\n";
  text += "[models.notes.adapters.recife]\nversion = \"1\"\nbytes = 10\n";
  for (const char* account : {"counter", "clerk"}) {
    text += "[accounts." + std::string(account) +
            "]\ntokens_per_second = 500\nburst_tokens = 5000\n";
  }
  text += with_key ? AccountKeyText("counter", kKey) : "";
  text += AccountKeyText("clerk", kOtherKey);
  text +=
      "[services.ledger.routes.read]\npath = \"/read\"\n"
      "[services.ledger.routes.status]\npath = \"/read/status\"\nopen = true\n"
      "[services.ledger.routes.payouts]\npath = \"/payouts\"\n"
      "idempotent = false\ncost_tokens = 7\n";
  return text;
}

ScriptedCoordinator::ScriptedCoordinator(EventLoop& loop)
    : m_loop(loop),
      m_listener(std::make_unique<wire::Listener>(
          loop,
          "127.0.0.1",
          0,
          [this](int socket) { Accept(socket); })) {}

void ScriptedCoordinator::Accept(int socket) {
  const std::size_t index = m_connections.size();
  m_connections.push_back(wire::Connection::Accepted(
      m_loop, socket,
      {.m_connected = {},
       .m_message =
           [this, index](const wire::EnvelopeT& message) {
             OnMessage(index, message);
           },
       .m_closed = {}}));
}

void ScriptedCoordinator::OnMessage(std::size_t index,
                                    const wire::EnvelopeT& message) {
  const auto connection = m_connections[index];
  if (message.body.AsHello() != nullptr) {
    if (++m_hello_count == 1) {
      // A coordinator sends each new entry its full table, which is empty here.
      wire::EndpointUpdateT table;
      table.full = true;
      connection->Send(wire::MakeEnvelope(std::move(table)));
    }
  } else if (!m_answering) {
    return;
  } else if (message.body.AsDocumentQuery() != nullptr) {
    wire::DocumentSnapshotT snapshot;
    snapshot.revision = m_revision;
    auto update = std::make_unique<wire::DocumentUpdateT>();
    update->service = "returns";
    update->revision = m_revision;
    update->text = m_document;
    snapshot.documents.push_back(std::move(update));
    connection->Send(wire::MakeReply(message, std::move(snapshot)));
  } else if (message.body.AsServingQuery() != nullptr) {
    wire::ServingReplyT reply;
    reply.valid_for_ms = m_valid_for_ms;
    reply.documents_revision = m_revision;
    connection->Send(wire::MakeReply(message, reply));
  } else if (const auto* demand = message.body.AsDemandRequest()) {
    m_demands.push_back(*demand);
    const auto reply = m_on_demand ? m_on_demand(*demand) : std::nullopt;
    if (reply) {
      connection->Send(wire::MakeReply(message, *reply));
    }
  }
}

void ScriptedCoordinator::Notify(const wire::EnvelopeT& notice) {
  for (const auto& connection : m_connections) {
    connection->Send(notice);
  }
}

void ScriptedCoordinator::SetDocument(const std::string& text) {
  m_document = text;
  wire::DocumentUpdateT update;
  update.service = "returns";
  update.revision = ++m_revision;
  update.text = text;
  Notify(wire::MakeEnvelope(update));
}

void ScriptedCoordinator::CloseAll() {
  for (const auto& connection : m_connections) {
    connection->Close();
  }
}

std::string ReceivedAnswer::ProblemType() const {
  const std::string* type =
      endpoint::FindHeader(m_head.m_headers, "Content-Type");
  if (type == nullptr || *type != "application/problem+json") {
    return "";
  }
  const std::string urn = Json().at("type");
  return urn.substr(urn.rfind(':') + 1);
}

std::string ReceivedAnswer::StreamText() const {
  const std::string start = "data: {";
  std::string text;
  std::size_t at = 0;
  while ((at = m_body.find(start, at)) != std::string::npos) {
    at += start.size() - 1;
    const auto event =
        nlohmann::json::parse(m_body.substr(at, m_body.find('\n', at) - at));
    if (event.contains("choices")) {
      text += event["choices"][0].value("text", "");
    }
  }
  return text;
}

EntryFixture::EntryFixture(const std::string& extra_settings)
    : m_engine1(m_loop, {}, FastEngine("e1")),
      m_engine2(m_loop, {}, FastEngine("e2")),
      m_service(m_loop, {}, "ledger"),
      m_caller(m_loop) {
  const std::string text =
      "host.name = \"h1\"\nhost.failure_domain = \"a\"\nlisten.port = 0\n"
      "coordinator.port = " +
      std::to_string(m_coordinator.port()) + "\ndrain.balancer_lag_ms = 50\n" +
      extra_settings;
  const auto checked =
      settings::ParseSettings(EntrySettingTable(), text, "test");
  m_daemon = std::make_unique<EntryDaemon>(
      m_loop, ParseEntrySettings(checked),
      [this](EventLoop&, CoordinatorLink&) { return MakeGates(); });
  const nlohmann::json faults{{"watched_secrets", {kKey, kOtherKey}}};
  m_engine1.SetFaults(faults);
  m_engine2.SetFaults(faults);
  m_service.SetFaults(faults);
  RunUntil([this] { return Run(Get("/readyz")).m_head.m_status == 200; });
}

EntryFixture::~EntryFixture() {
  m_calls.clear();
}

Gates EntryFixture::MakeGates() {
  auto tokens = std::make_unique<MockTokenGate>();
  auto actions = std::make_unique<MockActionGate>();
  m_tokens = tokens.get();
  m_actions = actions.get();
  m_expectations.push_back(
      NAMED_ALLOW_CALL(*m_tokens, Reserve(_, _, _, _))
          .LR_SIDE_EFFECT(m_reserved += m_over_rate ? 0 : _2)
          .LR_SIDE_EFFECT(
              _4(TokenDecision{.m_admitted = !m_over_rate,
                               .m_retry_after = milliseconds(1500)})));
  m_expectations.push_back(NAMED_ALLOW_CALL(*m_tokens, Refund(_, _))
                               .LR_SIDE_EFFECT(m_refunded += _2));
  m_expectations.push_back(NAMED_ALLOW_CALL(*m_tokens, ReturnAll())
                               .LR_SIDE_EFFECT(++m_return_all_calls));
  return {.m_tokens = std::move(tokens),
          .m_actions = std::move(actions),
          .m_returning_tokens = [] { return false; }};
}

std::shared_ptr<ReceivedAnswer> EntryFixture::Start(
    endpoint::CallRequest request) {
  auto answer = std::make_shared<ReceivedAnswer>();
  m_calls[answer.get()] = m_caller.Start(
      std::move(request),
      {.m_head =
           [answer](const endpoint::AnswerHead& head) {
             answer->m_head = head;
           },
       .m_bytes = [answer](std::string_view bytes) { answer->m_body += bytes; },
       .m_done = [answer] { answer->m_done = true; },
       .m_failed =
           [answer](const Error& error) { answer->m_failure = error.code(); }});
  return answer;
}

ReceivedAnswer EntryFixture::Run(endpoint::CallRequest request) {
  const auto answer = Start(std::move(request));
  RunUntil([&] { return answer->ended(); });
  m_calls.erase(answer.get());
  return *answer;
}

void EntryFixture::Disconnect(const std::shared_ptr<ReceivedAnswer>& answer) {
  m_calls.erase(answer.get());
}

endpoint::CallRequest EntryFixture::Get(const std::string& target) const {
  return {.m_endpoint = {EndpointId("entry"), "127.0.0.1", m_daemon->port()},
          .m_method = endpoint::HttpMethod::kGet,
          .m_target = target};
}

endpoint::CallRequest EntryFixture::Completion(bool stream,
                                               int tokens,
                                               const std::string& key) const {
  const nlohmann::json body{{"model", "notes"},
                            {"prompt", "a jar with a cracked lid"},
                            {"max_tokens", tokens},
                            {"stream", stream}};
  endpoint::CallRequest request = Get("/v1/completions");
  request.m_method = endpoint::HttpMethod::kPost;
  request.m_headers = {{"Authorization", "Bearer " + key},
                       {"X-Note", "my key is " + key}};
  request.m_body = body.dump();
  return request;
}

endpoint::CallRequest EntryFixture::ServiceCall(
    const std::string& path,
    endpoint::HeaderFields headers) const {
  endpoint::CallRequest request = Get("/services/ledger" + path);
  request.m_method = endpoint::HttpMethod::kPost;
  request.m_headers = std::move(headers);
  request.m_headers.push_back({"Authorization", "Bearer " + kKey});
  request.m_headers.push_back({"X-Note", "my key is " + kKey});
  request.m_body = "{\"amount\":4}";
  return request;
}

void EntryFixture::RunUntil(const std::function<bool()>& condition) {
  const MonotonicTime limit = m_loop.Now() + kTestLimit;
  while (!condition()) {
    if (m_loop.Now() > limit) {
      FAIL("the condition did not come true in time");
    }
    RunFor(kPollInterval);
  }
}

void EntryFixture::RunFor(Duration time) {
  bool timer_fired = false;
  const auto timer = m_loop.After(time, [&] {
    timer_fired = true;
    m_loop.Stop();
  });
  m_loop.Run();
  m_stopped = m_stopped || !timer_fired;
}

void EntryFixture::LoadModel(standins::EngineStandIn& engine) {
  endpoint::HttpOrderService orders(m_loop, m_caller);
  const endpoint::EndpointAddress address{EndpointId("engine"),
                                          engine.address(), engine.port()};
  orders.Send(
      address,
      {.m_number = ++m_last_order_number,
       .m_scope = "placement/1",
       .m_fencing_number = 1,
       .m_artifact = endpoint::ParseServedName(kNotesServedName),
       .m_bytes = 1000,
       .m_peak_bytes = 1000},
      [](const Result<endpoint::OrderReply>& reply) {
        CHECK(reply.value().m_outcome == endpoint::OrderOutcome::kAccepted);
      });
  RunFor(milliseconds(30));
}

void EntryFixture::PublishEndpoints(
    const std::vector<const standins::EngineStandIn*>& ready) {
  wire::EndpointUpdateT update;
  update.full = true;
  for (const auto* engine : {&m_engine1, &m_engine2}) {
    wire::EndpointStateT state =
        MakeEndpointState(engine == &m_engine1 ? "e1" : "e2", *engine);
    if (std::find(ready.begin(), ready.end(), engine) != ready.end()) {
      auto replica = std::make_unique<wire::ReplicaStateT>();
      replica->model = "returns/notes";
      replica->version = "3";
      replica->phase = wire::ReplicaPhase::Ready;
      state.replicas.push_back(std::move(replica));
    }
    update.endpoints.push_back(ToUniquePtr(std::move(state)));
  }
  wire::EndpointStateT service = MakeEndpointState("ledger-1", m_service);
  service.kind = wire::EndpointKind::Service;
  service.service = "ledger";
  update.endpoints.push_back(ToUniquePtr(std::move(service)));
  m_coordinator.Notify(wire::MakeEnvelope(std::move(update)));
  RunFor(milliseconds(30));
}

double EntryFixture::Metric(const std::string& line_start) {
  const std::string text = "\n" + Run(Get("/metrics")).m_body;
  const std::size_t at = text.find("\n" + line_start);
  if (at == std::string::npos) {
    return 0;
  }
  return std::stod(text.substr(text.find(' ', at + 1 + line_start.size())));
}

}  // namespace hickoryloft::entry
