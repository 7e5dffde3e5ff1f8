#include "keyvalue/etcd_client.h"

#include <algorithm>
#include <utility>

#include "keyvalue/base64.h"
#include "keyvalue/etcd_json.h"
#include "keyvalue/etcd_watch.h"
#include "keyvalue/memory_store.h"

namespace hickoryloft::keyvalue {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kRpcNotFound = 5;

// Returns the error for an answer with a status other than 200.
Error FailureOf(const HttpReply& reply) {
  const Json body = Json::parse(reply.m_body, nullptr, false);
  if (body.is_object() && body.value("code", Json()) == kRpcNotFound) {
    return {ErrorCode::kNotFound, "the lease does not exist"};
  }
  const std::string status = std::to_string(reply.m_status);
  constexpr int kFirstServerError = 500;
  if (reply.m_status >= kFirstServerError) {
    // A proxy or the service may answer so after the call took effect.
    return {ErrorCode::kOutcomeUnknown, "the service answered " + status};
  }
  return {ErrorCode::kProtocol, "the service answered " + status};
}

Json RangeBody(const std::string& key, bool prefix) {
  Json body = {{"key", EncodeBase64(key)}};
  if (prefix) {
    // The gateway encodes "no upper bound" as one zero byte.
    const std::string end = PrefixEnd(key);
    body["range_end"] = EncodeBase64(end.empty() ? std::string(1, '\0') : end);
  }
  return body;
}

ReadReply ParseRead(const Json& answer) {
  ReadReply reply{.m_revision = EtcdRevision(answer)};
  for (const Json& object : EtcdMember(answer, "kvs")) {
    reply.m_items.push_back(ParseEtcdKeyValue(object));
  }
  return reply;
}

Json SwapBody(const CompareAndSwap& operation) {
  const std::string key = EncodeBase64(operation.m_key);
  Json write;
  if (operation.m_value) {
    write["request_put"] = {{"key", key},
                            {"value", EncodeBase64(*operation.m_value)},
                            {"lease", std::to_string(operation.m_lease)}};
  } else {
    write["request_delete_range"] = {{"key", key}};
  }
  return {{"compare",
           {{{"target", "MOD"},
             {"result", "EQUAL"},
             {"key", key},
             {"mod_revision", std::to_string(operation.m_expected_revision)}}}},
          {"success", {write}},
          {"failure", {{{"request_range", {{"key", key}}}}}}};
}

SwapReply ParseSwap(const Json& answer) {
  SwapReply reply{.m_swapped = answer.value("succeeded", Json(false)) == true,
                  .m_revision = EtcdRevision(answer)};
  const Json responses = EtcdMember(answer, "responses");
  if (reply.m_swapped) {
    return reply;
  }
  if (responses.size() != 1 || !responses[0].is_object()) {
    throw Error(ErrorCode::kProtocol, "a failed swap lacks the current key");
  }
  for (const Json& object :
       EtcdMember(EtcdMember(responses[0], "response_range"), "kvs")) {
    reply.m_current = ParseEtcdKeyValue(object);
  }
  return reply;
}

LeaseReply ParseLease(const Json& answer) {
  const LeaseReply reply{.m_lease = EtcdInteger(answer, "ID"),
                         .m_ttl = seconds(EtcdInteger(answer, "TTL")),
                         .m_revision = EtcdRevision(answer)};
  if (reply.m_ttl <= Duration::zero()) {
    throw Error(ErrorCode::kNotFound, "the lease has lapsed");
  }
  return reply;
}

LeaseReply ParseKeepAlive(const Json& answer) {
  const Json result = EtcdMember(answer, "result");
  if (!result.is_object()) {
    throw Error(ErrorCode::kProtocol, "a keep-alive answer lacks its result");
  }
  return ParseLease(result);
}

}  // namespace

EtcdClient::EtcdClient(EventLoop& loop, const EtcdClientSettings& settings)
    : m_http(loop,
             {.m_address = settings.m_address,
              .m_port = settings.m_port,
              .m_user_agent = "hickoryloft/" + settings.m_host.value(),
              .m_timeout = settings.m_timeout,
              .m_max_connections = settings.m_max_connections}),
      m_watch_idle_timeout(settings.m_watch_idle_timeout) {}

template <typename T>
void EtcdClient::Call(const char* path,
                      const Json& body,
                      std::function<T(const Json&)> parse,
                      Callback<T> callback) {
  m_http.Send({.m_path = path,
               .m_body = body.dump(),
               .m_headers = {{"Content-Type", "application/json"}}},
              [parse = std::move(parse),
               callback = std::move(callback)](const Result<HttpReply>& reply) {
                if (!reply.ok()) {
                  callback(reply.error());
                  return;
                }
                if (reply.value().m_status != kStatusOk) {
                  callback(FailureOf(reply.value()));
                  return;
                }
                // Parsed outside the callback, so that an Error thrown by the
                // callback is not caught here.
                Result<T> result = [&]() -> Result<T> {
                  try {
                    return parse(ParseEtcdObject(reply.value().m_body));
                  } catch (const Error& error) {
                    return error;
                  }
                }();
                callback(std::move(result));
              });
}

void EtcdClient::Get(const std::string& key, Callback<ReadReply> callback) {
  Call<ReadReply>("/v3/kv/range", RangeBody(key, /*prefix=*/false), &ParseRead,
                  std::move(callback));
}

void EtcdClient::GetPrefix(const std::string& prefix,
                           Callback<ReadReply> callback) {
  Call<ReadReply>("/v3/kv/range", RangeBody(prefix, /*prefix=*/true),
                  &ParseRead, std::move(callback));
}

void EtcdClient::Swap(CompareAndSwap operation, Callback<SwapReply> callback) {
  Call<SwapReply>("/v3/kv/txn", SwapBody(operation), &ParseSwap,
                  std::move(callback));
}

void EtcdClient::GrantLease(Duration ttl, Callback<LeaseReply> callback) {
  const auto whole = std::chrono::ceil<seconds>(ttl);
  Call<LeaseReply>(
      "/v3/lease/grant",
      {{"TTL", std::to_string(std::max<std::int64_t>(1, whole.count()))}},
      &ParseLease, std::move(callback));
}

void EtcdClient::KeepAlive(LeaseId lease, Callback<LeaseReply> callback) {
  Call<LeaseReply>("/v3/lease/keepalive", {{"ID", std::to_string(lease)}},
                   &ParseKeepAlive, std::move(callback));
}

void EtcdClient::RevokeLease(LeaseId lease, Callback<Done> callback) {
  Call<Done>(
      "/v3/lease/revoke", {{"ID", std::to_string(lease)}},
      [](const Json&) { return Done{}; }, std::move(callback));
}

std::unique_ptr<Watch> EtcdClient::WatchPrefix(
    const std::string& prefix,
    Revision from_revision,
    std::function<void(WatchBatch)> changed,
    std::function<void(Error)> ended) {
  Json request = RangeBody(prefix, /*prefix=*/true);
  request["start_revision"] = std::to_string(from_revision + 1);
  request["progress_notify"] = true;
  auto watch = std::make_unique<EtcdWatch>(from_revision, std::move(changed),
                                           std::move(ended));
  watch->Attach(m_http.Stream(
      {.m_path = "/v3/watch",
       .m_body = Json{{"create_request", request}}.dump(),
       .m_headers = {{"Content-Type", "application/json"}}},
      m_watch_idle_timeout,
      [raw = watch.get()](const std::string& bytes) { raw->Feed(bytes); },
      [raw = watch.get()](const Error& error) { raw->End(error); }));
  return watch;
}

}  // namespace hickoryloft::keyvalue
