#include "endpoint/http_order_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "endpoint/buffered_call.h"

namespace hickoryloft::endpoint {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusConflict = 409;
constexpr int kStatusNotImplemented = 501;
constexpr int kStatusInsufficientStorage = 507;

CallRequest MakeCall(const EndpointAddress& endpoint,
                     HttpMethod method,
                     const char* target,
                     std::string body) {
  CallRequest request{.m_endpoint = endpoint,
                      .m_method = method,
                      .m_target = target,
                      .m_headers = {},
                      .m_body = std::move(body),
                      .m_idle_timeout = HttpOrderService::kAnswerTimeout};
  if (!request.m_body.empty()) {
    request.m_headers.push_back({"Content-Type", "application/json"});
  }
  return request;
}

Error UnexpectedStatus(const EndpointAddress& endpoint, int status) {
  return {ErrorCode::kProtocol, endpoint.m_id.value() +
                                    " answered with the unexpected status " +
                                    std::to_string(status)};
}

std::string ParseReason(const std::string& body) {
  const Json answer = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  return answer.is_object() ? answer.value("reason", "") : "";
}

Result<OrderReply> ToOrderReply(const EndpointAddress& endpoint,
                                const Answer& answer) {
  switch (answer.m_head.m_status) {
    case kStatusAccepted:
      return OrderReply{.m_outcome = OrderOutcome::kAccepted, .m_reason = ""};
    case kStatusConflict:
      return OrderReply{.m_outcome = OrderOutcome::kFenced,
                        .m_reason = ParseReason(answer.m_body)};
    case kStatusInsufficientStorage:
      return OrderReply{.m_outcome = OrderOutcome::kRefused,
                        .m_reason = ParseReason(answer.m_body)};
    default:
      return UnexpectedStatus(endpoint, answer.m_head.m_status);
  }
}

Result<InventoryReport> ToInventory(const EndpointAddress& endpoint,
                                    const Answer& answer) {
  if (answer.m_head.m_status != kStatusOk) {
    return UnexpectedStatus(endpoint, answer.m_head.m_status);
  }
  try {
    return ParseInventory(answer.m_body);
  } catch (const Error& error) {
    return error;
  }
}

Artifact ToArtifact(const Json& item) {
  return {.m_model = ModelId(item.at("model").get<std::string>()),
          .m_adapter = AdapterId(item.value("adapter", "")),
          .m_version = item.at("version").get<std::string>()};
}

ArtifactPhase ToPhase(const std::string& name) {
  if (name == "loading") {
    return ArtifactPhase::kLoading;
  }
  if (name == "ready") {
    return ArtifactPhase::kReady;
  }
  if (name == "unloading") {
    return ArtifactPhase::kUnloading;
  }
  throw Error(ErrorCode::kProtocol, "unknown phase '" + name + "'");
}

CheckpointTier ToTier(const std::string& name) {
  if (name == "memory") {
    return CheckpointTier::kMemory;
  }
  return name == "disk" ? CheckpointTier::kDisk : CheckpointTier::kRemote;
}

InventoryItem ToItem(const Json& item) {
  return {.m_artifact = ToArtifact(item),
          .m_phase = ToPhase(item.at("phase").get<std::string>()),
          .m_bytes = item.at("bytes").get<std::uint64_t>(),
          .m_order_number = item.at("order_number").get<std::uint64_t>()};
}

InventoryReport ToReport(const Json& json) {
  InventoryReport report{
      .m_checks_fencing = json.at("checks_fencing").get<bool>(),
      .m_leaving = json.at("leaving").get<bool>(),
      .m_memory_bytes = json.at("memory_bytes").get<std::uint64_t>(),
      .m_waiting = json.at("waiting").get<std::uint32_t>(),
      .m_running = json.at("running").get<std::uint32_t>(),
      .m_last_order_number = json.at("last_order_number").get<std::uint64_t>(),
      .m_items = {},
      .m_cached = {}};
  for (const Json& item : json.at("items")) {
    report.m_items.push_back(ToItem(item));
  }
  if (const auto cached = json.find("cached"); cached != json.end()) {
    for (const Json& item : *cached) {
      report.m_cached.push_back(
          {.m_artifact = ToArtifact(item),
           .m_tier = ToTier(item.at("tier").get<std::string>())});
    }
  }
  return report;
}

}  // namespace

std::string FormatOrder(const Order& order) {
  const Json json{
      {"kind", order.m_kind == OrderKind::kLoad ? "load" : "unload"},
      {"number", order.m_number},
      {"scope", order.m_scope},
      {"fence", order.m_fencing_number},
      {"model", order.m_artifact.m_model.value()},
      {"adapter", order.m_artifact.m_adapter.value()},
      {"version", order.m_artifact.m_version},
      {"bytes", order.m_bytes},
      {"peak_bytes", order.m_peak_bytes},
  };
  return json.dump();
}

InventoryReport ParseInventory(const std::string& text) {
  try {
    return ToReport(Json::parse(text));
  } catch (const Json::exception& error) {
    throw Error(ErrorCode::kProtocol,
                std::string("the inventory is not valid: ") + error.what());
  }
}

void HttpOrderService::Send(const EndpointAddress& endpoint,
                            const Order& order,
                            std::function<void(Result<OrderReply>)> callback) {
  StartBuffered(
      m_loop, m_client,
      MakeCall(endpoint, HttpMethod::kPost, "/orders", FormatOrder(order)),
      {.m_time = kAnswerTimeout},
      [endpoint, callback = std::move(callback)](Result<Answer> answer) {
        callback(answer ? ToOrderReply(endpoint, answer.value())
                        : Result<OrderReply>(answer.error()));
      });
}

void HttpOrderService::RaiseFence(const EndpointAddress& endpoint,
                                  const std::string& scope,
                                  FencingNumber fencing_number,
                                  std::function<void(Result<Done>)> callback) {
  const Json body{{"scope", scope}, {"fence", fencing_number}};
  StartBuffered(
      m_loop, m_client,
      MakeCall(endpoint, HttpMethod::kPost, "/fences", body.dump()),
      {.m_time = kAnswerTimeout},
      [endpoint, callback = std::move(callback)](Result<Answer> answer) {
        if (!answer) {
          callback(answer.error());
          return;
        }
        const int status = answer.value().m_head.m_status;
        if (status == kStatusOk) {
          callback(Done{});
        } else if (status == kStatusNotImplemented) {
          callback(Error(ErrorCode::kForbidden,
                         endpoint.m_id.value() + " ignores fencing numbers"));
        } else {
          callback(UnexpectedStatus(endpoint, status));
        }
      });
}

void HttpOrderService::FetchInventory(
    const EndpointAddress& endpoint,
    std::function<void(Result<InventoryReport>)> callback) {
  StartBuffered(
      m_loop, m_client, MakeCall(endpoint, HttpMethod::kGet, "/inventory", ""),
      {.m_time = kAnswerTimeout},
      [endpoint, callback = std::move(callback)](Result<Answer> answer) {
        callback(answer ? ToInventory(endpoint, answer.value())
                        : Result<InventoryReport>(answer.error()));
      });
}

}  // namespace hickoryloft::endpoint
