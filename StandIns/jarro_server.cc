#include "StandIns/jarro_server.h"

#include <utility>

namespace hickoryloft::standins {

namespace {

using nlohmann::json;

constexpr Duration kDiskLoadTime = milliseconds(200);
constexpr Duration kRemoteLoadTime = milliseconds(1500);
constexpr Duration kUnloadTime = milliseconds(50);
constexpr int kStreamEvents = 12;

std::string HeaderValue(const http::ServerRequest& request, const char* name) {
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
                {"zone", m_settings.m_zone},
                {"coldRemainingMs", ToMillis(m_settings.m_cold_for).count()},
                {"version", "v1"},
                {"slots", 8},
                {"state", state},
                {"born", 1000},
                {"seq", ++m_registrations}};
  if (m_settings.m_is_engine) {
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

json JarroServer::Record() const {
  return {
      {"id", m_settings.m_id},           {"runs", m_executed_requests},
      {"orders", m_order_log},           {"models", m_settings.m_models},
      {"overloaded", m_memory_exceeded}, {"turned_away", m_rejected_requests}};
}

http::HeaderFields JarroServer::Echo(const Exchange& exchange,
                                     http::HeaderFields headers) {
  const std::string id = HeaderValue(exchange->request(), "Request-Id");
  if (!id.empty()) {
    headers.push_back({"Request-Id", id});
  }
  return headers;
}

void JarroServer::Handle(const Exchange& exchange) {
  const http::ServerRequest& request = exchange->request();
  const std::string expected = HeaderValue(request, "Expect-Instance");
  if (!expected.empty() && expected != m_settings.m_id) {
    exchange->Answer(421, Echo(exchange, {{"Instance-Id", m_settings.m_id}}),
                     "");
  } else if (request.m_target == "/-/order") {
    ExecuteOrder(exchange);
  } else if (request.m_target == "/-/report") {
    SendReport(exchange);
  } else {
    ExecuteRequest(exchange);
  }
}

void JarroServer::ExecuteOrder(const Exchange& exchange) {
  const json order = json::parse(exchange->request().m_body.text(), nullptr,
                                 /*allow_exceptions=*/false);
  m_order_log.push_back(order);
  if (m_busy ||
      order.value("expected", m_accepted_orders) != m_accepted_orders) {
    exchange->Answer(409, Echo(exchange), "");
    return;
  }
  ++m_accepted_orders;
  const std::string model = order.value("model", "");
  const std::string adapter = order.value("adapter", "");
  const bool load = order.value("operation", "") == "load";
  exchange->Answer(202, Echo(exchange), "");
  if (!adapter.empty()) {
    if (load) {
      m_adapters[model].insert(adapter);
    } else {
      m_adapters[model].erase(adapter);
    }
    return;
  }
  const double needed_megabytes =
      m_settings.m_model_megabytes *
      static_cast<double>(m_settings.m_models.size() + (load ? 1 : 0));
  m_memory_exceeded =
      m_memory_exceeded || needed_megabytes > m_settings.m_memory_megabytes;
  m_busy = true;
  const Duration duration = !load ? kUnloadTime
                            : m_settings.m_on_disk.contains(model)
                                ? kDiskLoadTime
                                : kRemoteLoadTime;
  m_timers.push_back(m_loop.After(duration, [this, model, load] {
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

void JarroServer::SendReport(const Exchange& exchange) {
  json models = json::array();
  for (const std::string& model : m_settings.m_models) {
    const auto found = m_adapters.find(model);
    models.push_back(
        {{"name", model},
         {"version", 1},
         {"adapters", found == m_adapters.end() ? std::set<std::string>()
                                                : found->second}});
  }
  exchange->Answer(200, Echo(exchange, {{"Content-Type", "application/json"}}),
                   json{{"stage", "unified"},
                        {"models", models},
                        {"busy", m_busy},
                        {"seq", m_accepted_orders}}
                       .dump());
}

void JarroServer::ExecuteRequest(const Exchange& exchange) {
  const http::ServerRequest& request = exchange->request();
  const std::string id = HeaderValue(request, "Request-Id");
  const std::string model = HeaderValue(request, "Model");
  const std::string name = model.substr(0, model.find('/'));
  const bool adapter_missing =
      model.find('/') != std::string::npos &&
      !m_adapters[name].contains(model.substr(model.find('/') + 1));
  if (m_settings.m_is_engine &&
      (!m_settings.m_models.contains(name) || adapter_missing)) {
    exchange->Answer(421, Echo(exchange, {{"Not-Executed", "1"}}), "");
    return;
  }
  if (const Duration retry_after = m_reject_until - m_loop.Now();
      retry_after > Duration(0)) {
    ++m_rejected_requests;
    exchange->Answer(503,
                     {{"Request-Id", id},
                      {"Not-Executed", "1"},
                      {"Retry-After", std::to_string(ToSeconds(retry_after))}},
                     "");
    return;
  }
  m_executed_requests.push_back(
      {{"id", id},
       {"account", HeaderValue(request, "Tenant")},
       {"key", HeaderValue(request, "Authorization")},
       {"resume_after", HeaderValue(request, "Last-Event-Id")},
       {"deadline_ms", HeaderValue(request, "Deadline-Ms")}});
  const std::string signature = m_settings.m_id + "." + id;
  if (m_sends_endless_bodies) {
    exchange->StartAnswer(200, AnswerHeaders(id), std::nullopt);
    Repeat(exchange, std::string(std::size_t{64} * 1024, 'x'), milliseconds(1));
    return;
  }
  if (m_settings.m_is_engine) {
    const std::string after = HeaderValue(request, "Last-Event-Id");
    http::HeaderFields headers = AnswerHeaders(id);
    headers.push_back({"Content-Type", "text/event-stream"});
    exchange->StartAnswer(200, headers, std::nullopt);
    if (m_trickles_streams) {
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
  if (m_response_delay > Duration(0)) {
    m_timers.push_back(m_loop.After(m_response_delay, answer));
  } else {
    answer();
  }
}

http::HeaderFields JarroServer::AnswerHeaders(const std::string& id) const {
  http::HeaderFields headers = {
      {"Request-Id", id}, {"Server-Signature", m_settings.m_id + "." + id}};
  if (m_announces_leaving) {
    headers.push_back({"Server-Leaving", "1"});
  }
  if (m_named_limit > 0) {
    headers.push_back({"Server-Limit", std::to_string(m_named_limit)});
  }
  return headers;
}

void JarroServer::Repeat(const Exchange& exchange,
                         const std::string& piece,
                         Duration interval) {
  if (!exchange->open()) {
    return;
  }
  exchange->SendBody(piece);
  m_timers.push_back(m_loop.After(interval, [this, exchange, piece, interval] {
    Repeat(exchange, piece, interval);
  }));
}

void JarroServer::Stream(const Exchange& exchange,
                         int next,
                         const std::string& signature) {
  if (!exchange->open()) {
    return;
  }
  if (next > kStreamEvents) {
    exchange->FinishAnswer();
    return;
  }
  if (m_abort_after_events >= 0 && next > m_abort_after_events) {
    m_abort_after_events = -1;
    exchange->SendBody("id: " + std::to_string(next) + "\nda");
    m_timers.push_back(m_loop.After(Duration(milliseconds(5)),
                                    [exchange] { exchange->Abort(); }));
    return;
  }
  exchange->SendBody("id: " + std::to_string(next) + "\ndata: t" +
                     std::to_string(next) + "\n\n");
  m_timers.push_back(
      m_loop.After(m_event_interval, [this, exchange, next, signature] {
        Stream(exchange, next + 1, signature);
      }));
}

}  // namespace hickoryloft::standins
