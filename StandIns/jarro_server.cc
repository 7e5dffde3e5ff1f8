#include "StandIns/jarro_server.h"

#include <utility>

namespace hickoryloft::standins {

namespace {

using nlohmann::json;

constexpr Duration kNearLoad = milliseconds(200);
constexpr Duration kStoreLoad = milliseconds(1500);
constexpr Duration kUnload = milliseconds(50);
constexpr int kEvents = 12;

std::string HeaderOf(const http::ServerRequest& request, const char* name) {
  const std::string* value = http::FindHeader(request.m_headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

JarroServer::JarroServer(EventLoop& loop,
                         JarroStore& store,
                         JarroServerSettings settings)
    : m_loop(loop),
      m_store(store),
      m_settings(std::move(settings)),
      m_http(loop, "127.0.0.1", 0, [this](const Exchange& exchange) {
        Handle(exchange);
      }) {
  Register("ready");
}

void JarroServer::Register(const std::string& state) {
  json entry = {{"service", m_settings.m_service},
                {"address", "127.0.0.1:" + std::to_string(m_http.port())},
                {"zone", "z1"},
                {"version", "v1"},
                {"slots", 8},
                {"state", state},
                {"born", 1000},
                {"seq", ++m_beats}};
  if (m_settings.m_engine) {
    json models = json::array();
    for (const std::string& model : m_settings.m_models) {
      models.push_back(
          {{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    entry["models"] = models;
    entry["available"] = {{"inMemory", json::array()},
                          {"onDisk", m_settings.m_on_disk}};
  }
  m_store.Put("servers/" + m_settings.m_id, entry.dump());
}

json JarroServer::Seen() const {
  return {{"id", m_settings.m_id},      {"runs", m_runs},
          {"orders", m_order_log},      {"models", m_settings.m_models},
          {"overloaded", m_overloaded}, {"turned_away", m_turned_away}};
}

void JarroServer::Handle(const Exchange& exchange) {
  const http::ServerRequest& request = exchange->request();
  const std::string expected = HeaderOf(request, "Expect-Instance");
  if (!expected.empty() && expected != m_settings.m_id) {
    exchange->Answer(421, {{"Instance-Id", m_settings.m_id}}, "");
  } else if (request.m_target == "/-/order") {
    TakeOrder(exchange);
  } else if (request.m_target == "/-/report") {
    Report(exchange);
  } else {
    Run(exchange);
  }
}

void JarroServer::TakeOrder(const Exchange& exchange) {
  const json order = json::parse(exchange->request().m_body, nullptr,
                                 /*allow_exceptions=*/false);
  m_order_log.push_back(order);
  if (m_busy || order.value("expected", m_orders) != m_orders) {
    exchange->Answer(409, {}, "");
    return;
  }
  ++m_orders;
  const std::string model = order.value("model", "");
  const std::string adapter = order.value("adapter", "");
  const bool load = order.value("operation", "") == "load";
  exchange->Answer(202, {}, "");
  if (!adapter.empty()) {
    if (load) {
      m_adapters[model].insert(adapter);
    } else {
      m_adapters[model].erase(adapter);
    }
    return;
  }
  const double needed =
      m_settings.m_model_megabytes *
      static_cast<double>(m_settings.m_models.size() + (load ? 1 : 0));
  m_overloaded = m_overloaded || needed > m_settings.m_megabytes;
  m_busy = true;
  const Duration time = !load                                  ? kUnload
                        : m_settings.m_on_disk.contains(model) ? kNearLoad
                                                               : kStoreLoad;
  m_timers.push_back(m_loop.After(time, [this, model, load] {
    m_busy = false;
    if (load) {
      m_settings.m_models.insert(model);
      m_settings.m_on_disk.insert(model);
    } else {
      m_settings.m_models.erase(model);
    }
    Register("ready");
  }));
}

void JarroServer::Report(const Exchange& exchange) {
  json models = json::array();
  for (const std::string& model : m_settings.m_models) {
    const auto held = m_adapters.find(model);
    models.push_back(
        {{"name", model},
         {"version", 1},
         {"adapters",
          held == m_adapters.end() ? std::set<std::string>() : held->second}});
  }
  exchange->Answer(200, {{"Content-Type", "application/json"}},
                   json{{"stage", "unified"},
                        {"models", models},
                        {"busy", m_busy},
                        {"seq", m_orders}}
                       .dump());
}

void JarroServer::Run(const Exchange& exchange) {
  const http::ServerRequest& request = exchange->request();
  const std::string id = HeaderOf(request, "Request-Id");
  const std::string model = HeaderOf(request, "Model");
  const std::string name = model.substr(0, model.find('/'));
  const bool adapter_missing =
      model.find('/') != std::string::npos &&
      !m_adapters[name].contains(model.substr(model.find('/') + 1));
  if (m_settings.m_engine &&
      (!m_settings.m_models.contains(name) || adapter_missing)) {
    exchange->Answer(421, {{"Not-Executed", "1"}}, "");
    return;
  }
  if (const Duration away = m_away_until - m_loop.Now(); away > Duration(0)) {
    ++m_turned_away;
    exchange->Answer(503,
                     {{"Request-Id", id},
                      {"Not-Executed", "1"},
                      {"Retry-After", std::to_string(ToSeconds(away))}},
                     "");
    return;
  }
  m_runs.push_back({{"id", id},
                    {"account", HeaderOf(request, "Tenant")},
                    {"key", HeaderOf(request, "Authorization")},
                    {"resume_after", HeaderOf(request, "Last-Event-Id")},
                    {"deadline_ms", HeaderOf(request, "Deadline-Ms")}});
  const std::string signature = m_settings.m_id + "." + id;
  if (m_babbles) {
    exchange->StartAnswer(200, AnswerHeaders(id), std::nullopt);
    Repeat(exchange, std::string(std::size_t{64} * 1024, 'x'), milliseconds(1));
    return;
  }
  if (m_settings.m_engine) {
    const std::string after = HeaderOf(request, "Last-Event-Id");
    http::HeaderFields headers = AnswerHeaders(id);
    headers.push_back({"Content-Type", "text/event-stream"});
    exchange->StartAnswer(200, headers, std::nullopt);
    if (m_trickles) {
      Repeat(exchange, "x", milliseconds(100));
      return;
    }
    Stream(exchange, after.empty() ? 1 : std::atoi(after.c_str()) + 1,
           signature);
    return;
  }
  const auto answer = [exchange, id, headers = AnswerHeaders(id)] {
    exchange->Answer(200, headers, "done " + id);
  };
  if (m_work > Duration(0)) {
    m_timers.push_back(m_loop.After(m_work, answer));
  } else {
    answer();
  }
}

http::HeaderFields JarroServer::AnswerHeaders(const std::string& id) const {
  http::HeaderFields headers = {
      {"Request-Id", id}, {"Server-Signature", m_settings.m_id + "." + id}};
  if (m_says_leaving) {
    headers.push_back({"Server-Leaving", "1"});
  }
  return headers;
}

void JarroServer::Repeat(const Exchange& exchange,
                         const std::string& piece,
                         Duration pause) {
  if (!exchange->open()) {
    return;
  }
  exchange->SendBody(piece);
  m_timers.push_back(m_loop.After(pause, [this, exchange, piece, pause] {
    Repeat(exchange, piece, pause);
  }));
}

void JarroServer::Stream(const Exchange& exchange,
                         int next,
                         const std::string& signature) {
  if (!exchange->open()) {
    return;
  }
  if (next > kEvents) {
    exchange->FinishAnswer();
    return;
  }
  if (m_break_after >= 0 && next > m_break_after) {
    m_break_after = -1;
    exchange->SendBody("id: " + std::to_string(next) + "\nda");
    m_timers.push_back(m_loop.After(Duration(milliseconds(5)),
                                    [exchange] { exchange->Abort(); }));
    return;
  }
  exchange->SendBody("id: " + std::to_string(next) + "\ndata: t" +
                     std::to_string(next) + "\n\n");
  m_timers.push_back(
      m_loop.After(m_event_pause, [this, exchange, next, signature] {
        Stream(exchange, next + 1, signature);
      }));
}

}  // namespace hickoryloft::standins
