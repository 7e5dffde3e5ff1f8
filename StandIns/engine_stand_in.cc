#include "StandIns/engine_stand_in.h"

#include <utility>
#include <vector>

#include "base/error.h"
#include "base/hashing.h"

namespace hickoryloft::standins {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotImplemented = 501;
constexpr int kServiceUnavailable = 503;

const char* ToString(CacheTier tier) {
  switch (tier) {
    case CacheTier::kMemory:
      return "memory";
    case CacheTier::kDisk:
      return "disk";
    case CacheTier::kRemote:
      return "remote";
  }
  return "remote";
}

CacheTier ParseTier(const std::string& text) {
  if (text == "memory") {
    return CacheTier::kMemory;
  }
  return text == "disk" ? CacheTier::kDisk : CacheTier::kRemote;
}

Json ErrorBody(const std::string& code) {
  return {{"error", {{"code", code}, {"message", code}}}};
}

// Returns how long an adapter takes to load from the engine's own cache: 5 to
// 10 ms, derived from its name so that it is the same in every run.
Duration CachedAdapterLoadTime(const std::string& served_name) {
  constexpr microseconds kShortest(5000);
  constexpr std::uint64_t kSpreadMicros = 5001;
  return kShortest + microseconds(StableHash(served_name) % kSpreadMicros);
}

}  // namespace

EngineStandIn::EngineStandIn(EventLoop& loop,
                             const ListenAddress& listen,
                             const EngineSettings& settings)
    : StandIn(loop, listen),
      m_settings(settings),
      m_memory(settings.m_memory_bytes, !settings.m_ignore_fencing),
      m_batch(loop, settings.m_decode, [this] { return frozen(); }) {
  m_batch.OnEnded([this] { FinishIdleUnloads(); });
  if (settings.m_store) {
    constexpr seconds kStoreTimeout(600);
    constexpr std::size_t kStoreConnections = 64;
    m_store = std::make_unique<keyvalue::HttpClient>(
        loop, keyvalue::HttpClientSettings{
                  .m_address = settings.m_store->m_address,
                  .m_port = settings.m_store->m_port,
                  .m_user_agent = "engine/" + settings.m_name,
                  .m_timeout = kStoreTimeout,
                  .m_max_connections = kStoreConnections});
  }
}

nlohmann::json EngineStandIn::Record() const {
  Json record = m_memory.RecordJson();
  record["name"] = m_settings.m_name;
  record["failure_domain"] = m_settings.m_failure_domain;
  record["requests"] = m_requests.ToJson();
  record["generations_by_id"] = m_generations;
  record["prefix_hit_tokens"] = m_batch.prefix_hit_tokens();
  return record;
}

void EngineStandIn::Handle(const CallPtr& call) {
  m_requests.Add(*call);
  if (call->path() == "/v1/completions") {
    HandleCompletion(call, /*chat=*/false);
  } else if (call->path() == "/v1/chat/completions") {
    HandleCompletion(call, /*chat=*/true);
  } else if (call->path() == "/orders") {
    HandleOrder(call);
  } else if (call->path() == "/fences") {
    HandleFence(call);
  } else if (call->path() == "/inventory") {
    call->Send(kOk, LaggedInventory());
  } else {
    call->Send(kNotFound, ErrorBody("no_such_route"));
  }
}

void EngineStandIn::ApplyFaults(const Json& faults) {
  if (faults.contains("leaving")) {
    m_leaving = faults["leaving"].get<bool>();
  }
  if (faults.contains("reply_with_wrong_id")) {
    m_completion_faults.m_wrong_ids_left =
        faults["reply_with_wrong_id"].get<std::int64_t>();
  }
  if (faults.contains("duplicate_reply")) {
    m_completion_faults.m_duplicates_left =
        faults["duplicate_reply"].get<std::int64_t>();
  }
  if (faults.contains("cut_stream_after_tokens")) {
    m_completion_faults.m_cut_after_tokens =
        faults["cut_stream_after_tokens"].get<std::int64_t>();
    m_completion_faults.m_cut_streams_left =
        faults.value("cut_streams", std::int64_t{1});
  }
  if (faults.contains("report_lag_ms")) {
    m_inventory_lag = milliseconds(faults["report_lag_ms"].get<std::int64_t>());
  }
  for (const Json& item : faults.value("cached", Json::array())) {
    const EngineArtifact artifact{
        .m_model = item.at("model").get<std::string>(),
        .m_adapter = item.value("adapter", ""),
        .m_version = item.value("version", "")};
    m_cached[artifact.ServedName()] = {
        .m_artifact = artifact, .m_tier = ParseTier(item.value("tier", ""))};
  }
  m_requests.ApplyFaults(faults);
}

void EngineStandIn::HandleOrder(const CallPtr& call) {
  EngineOrder order;
  try {
    order = ParseEngineOrder(call->Json());
  } catch (const Error& error) {
    call->Send(kBadRequest, ErrorBody(error.what()));
    return;
  }
  const OrderAnswer answer = m_memory.Execute(order);
  constexpr int kAccepted = 202;
  if (answer.m_status == kAccepted && !answer.m_repeated) {
    if (order.m_is_load) {
      StartLoad(order);
    } else {
      m_load_timers.erase(order.m_number);
      FinishIdleUnloads();
    }
  }
  if (ConsumeDroppedReply()) {
    call->Drop();
    return;
  }
  Json body = {{"outcome", answer.m_code}, {"reason", answer.m_reason}};
  if (answer.m_status != kAccepted) {
    body["error"] = {{"code", answer.m_code}};
  }
  call->Send(answer.m_status, body);
}

void EngineStandIn::HandleFence(const CallPtr& call) {
  if (!m_memory.checks_fencing()) {
    call->Send(kNotImplemented, ErrorBody("fencing_ignored"));
    return;
  }
  const Json body = call->Json();
  if (!body.is_object() || !body.value("scope", Json()).is_string() ||
      !body.value("fence", Json()).is_number_integer()) {
    call->Send(kBadRequest, ErrorBody("malformed_fence"));
    return;
  }
  const std::int64_t lowest_accepted = m_memory.RaiseFence(
      body["scope"].get<std::string>(), body["fence"].get<std::int64_t>());
  call->Send(kOk, {{"fence", lowest_accepted}});
}

void EngineStandIn::HandleCompletion(const CallPtr& call, bool chat) {
  const auto completion =
      std::make_shared<Completion>(call, chat, m_completion_faults);
  if (RefuseCompletion(call, completion->served_name())) {
    return;
  }
  ++m_generations[call->Header("x-request-id")];
  completion->Begin(LoadHeaders());
  Generate(completion);
}

bool EngineStandIn::RefuseCompletion(const CallPtr& call,
                                     const std::string& served_name) {
  Headers headers = LoadHeaders();
  headers["X-Request-Id"] = call->Header("x-request-id");
  if (m_leaving) {
    call->Send(kServiceUnavailable, ErrorBody("leaving"), headers);
    return true;
  }
  if (m_memory.FindReady(served_name) == nullptr) {
    call->Send(kNotFound, ErrorBody("model_not_loaded"), headers);
    return true;
  }
  return false;
}

void EngineStandIn::Generate(const std::shared_ptr<Completion>& completion) {
  const SequenceId id = m_batch.Add(
      {.m_artifact = completion->served_name(),
       .m_prompt = completion->prompt(),
       .m_priority = completion->priority(),
       .m_next_token = completion->resume_from(),
       .m_token_count = completion->max_tokens(),
       .m_on_token =
           [completion](std::int64_t number) { completion->AddToken(number); },
       .m_on_end = [this, completion] { completion->End(LoadHeaders()); }});
  completion->call()->OnClosed([this, id] {
    m_batch.Cancel(id);
    FinishIdleUnloads();
  });
}

void EngineStandIn::StartLoad(const EngineOrder& order) {
  const std::string name = order.m_artifact.ServedName();
  const auto cached = m_cached.find(name);
  const CacheTier tier =
      cached == m_cached.end() ? CacheTier::kRemote : cached->second.m_tier;
  const auto bytes = static_cast<double>(order.m_bytes);
  if (tier == CacheTier::kRemote) {
    FetchFromStore(order);
  } else if (order.m_artifact.is_adapter()) {
    FinishLoadAfter(order, CachedAdapterLoadTime(name));
  } else if (tier == CacheTier::kMemory) {
    FinishLoadAfter(order,
                    FromSeconds(bytes / m_settings.m_memory_bytes_per_second));
  } else {
    FinishLoadAfter(order,
                    FromSeconds(bytes / m_settings.m_disk_bytes_per_second));
  }
}

void EngineStandIn::FetchFromStore(const EngineOrder& order) {
  if (!m_store) {
    FinishLoadAfter(order, Duration::zero());
    return;
  }
  const Json body = {{"artifact", order.m_artifact.ServedName()},
                     {"bytes", order.m_bytes},
                     {"adapter", order.m_artifact.is_adapter()}};
  m_store->Send({.m_path = "/fetch", .m_body = body.dump()},
                [this, order](const Result<keyvalue::HttpReply>& reply) {
                  if (reply.ok() && reply.value().m_status == kOk) {
                    FinishLoad(order);
                    return;
                  }
                  // A fetch is idempotent, so it is retried until it succeeds.
                  constexpr milliseconds kRetryDelay(200);
                  m_load_timers[order.m_number] = loop().After(
                      kRetryDelay, [this, order] { FetchFromStore(order); });
                });
}

void EngineStandIn::FinishLoadAfter(const EngineOrder& order, Duration delay) {
  m_load_timers[order.m_number] = loop().After(delay, [this, order] {
    m_load_timers.erase(order.m_number);
    FinishLoad(order);
  });
}

void EngineStandIn::FinishLoad(const EngineOrder& order) {
  const std::string name = order.m_artifact.ServedName();
  m_memory.FinishLoad(name, order.m_number);
  m_cached.try_emplace(name, CachedArtifact{.m_artifact = order.m_artifact,
                                            .m_tier = CacheTier::kDisk});
}

void EngineStandIn::FinishIdleUnloads() {
  std::vector<std::string> idle;
  for (const auto& [name, item] : m_memory.items()) {
    if (item.m_phase == EnginePhase::kUnloading &&
        m_batch.CountSequences(name) == 0) {
      idle.push_back(name);
    }
  }
  for (const std::string& name : idle) {
    m_memory.FinishUnload(name);
  }
}

nlohmann::json EngineStandIn::Inventory() const {
  Json cached = Json::array();
  for (const auto& [name, entry] : m_cached) {
    cached.push_back({{"model", entry.m_artifact.m_model},
                      {"adapter", entry.m_artifact.m_adapter},
                      {"version", entry.m_artifact.m_version},
                      {"tier", ToString(entry.m_tier)}});
  }
  return {{"checks_fencing", m_memory.checks_fencing()},
          {"leaving", m_leaving},
          {"memory_bytes", m_memory.memory_bytes()},
          {"waiting", m_batch.waiting()},
          {"running", m_batch.running()},
          {"last_order_number", m_memory.last_order_number()},
          {"items", m_memory.ItemsJson()},
          {"cached", cached}};
}

const nlohmann::json& EngineStandIn::LaggedInventory() {
  const MonotonicTime now = loop().Now();
  if (m_reported_inventory.is_null() ||
      now - m_reported_at >= m_inventory_lag) {
    m_reported_inventory = Inventory();
    m_reported_at = now;
  }
  return m_reported_inventory;
}

Headers EngineStandIn::LoadHeaders() const {
  return {{"X-Engine-Waiting", std::to_string(m_batch.waiting())},
          {"X-Engine-Running", std::to_string(m_batch.running())}};
}

}  // namespace hickoryloft::standins
