#include "StandIns/etcd_gateway.h"

#include <map>
#include <optional>

#include "base/error.h"
#include "keyvalue/etcd_json.h"

namespace hickoryloft::standins {

namespace {

using keyvalue::EtcdBytes;
using keyvalue::EtcdInteger;
using keyvalue::EtcdMember;
using keyvalue::KeyValue;
using keyvalue::MemoryStore;

using Json = nlohmann::json;

Json WithHeader(const MemoryStore& store, Json answer = Json::object()) {
  answer["header"] = GatewayHeader(store);
  return answer;
}

Json Range(MemoryStore& store, const Json& body, MonotonicTime /*now*/) {
  const std::string key = EtcdBytes(body, "key");
  std::vector<KeyValue> items;
  if (body.contains("range_end")) {
    items = store.GetRange(key, keyvalue::EtcdRangeEnd(body));
  } else if (const auto item = store.Get(key)) {
    items.push_back(*item);
  }
  Json answer = WithHeader(store);
  for (const KeyValue& item : items) {
    Json object = keyvalue::ToEtcdJson(item);
    object["version"] = std::to_string(store.VersionOf(item.m_key));
    answer["kvs"].push_back(std::move(object));
  }
  if (!items.empty()) {
    answer["count"] = std::to_string(items.size());
  }
  return answer;
}

Json Put(MemoryStore& store, const Json& body, MonotonicTime /*now*/) {
  store.Put(EtcdBytes(body, "key"), EtcdBytes(body, "value"),
            EtcdInteger(body, "lease"));
  return WithHeader(store);
}

Json DeleteRange(MemoryStore& store, const Json& body, MonotonicTime /*now*/) {
  const bool deleted = store.Delete(EtcdBytes(body, "key"));
  return WithHeader(store, {{"deleted", deleted ? "1" : "0"}});
}

// Returns the stored number that `compare` refers to.
std::int64_t ComparedNumber(const MemoryStore& store, const Json& compare) {
  const std::string key = EtcdBytes(compare, "key");
  const std::optional<KeyValue> item = store.Get(key);
  const std::string target = compare.value("target", "VERSION");
  if (target == "VERSION") {
    return store.VersionOf(key);
  }
  if (!item) {
    return 0;
  }
  return target == "CREATE" ? item->m_create_revision : item->m_mod_revision;
}

bool ComparisonHolds(const MemoryStore& store, const Json& compare) {
  static const std::map<std::string, const char*> kFields = {
      {"VERSION", "version"},
      {"CREATE", "create_revision"},
      {"MOD", "mod_revision"}};
  const auto field = kFields.find(compare.value("target", "VERSION"));
  if (field == kFields.end() || compare.value("result", "EQUAL") != "EQUAL") {
    throw Error(ErrorCode::kProtocol, "unsupported comparison");
  }
  return ComparedNumber(store, compare) == EtcdInteger(compare, field->second);
}

Json ExecuteOperation(MemoryStore& store,
                      const Json& operation,
                      MonotonicTime now) {
  if (operation.contains("request_put")) {
    return {{"response_put", Put(store, operation["request_put"], now)}};
  }
  if (operation.contains("request_delete_range")) {
    return {{"response_delete_range",
             DeleteRange(store, operation["request_delete_range"], now)}};
  }
  return {{"response_range",
           Range(store, EtcdMember(operation, "request_range"), now)}};
}

Json Transact(MemoryStore& store, const Json& body, MonotonicTime now) {
  const Json compares = EtcdMember(body, "compare");
  bool succeeded = true;
  for (const Json& compare : compares) {
    succeeded = succeeded && ComparisonHolds(store, compare);
  }
  Json responses = Json::array();
  for (const Json& operation :
       EtcdMember(body, succeeded ? "success" : "failure")) {
    responses.push_back(ExecuteOperation(store, operation, now));
  }
  Json answer = WithHeader(store, {{"responses", responses}});
  if (succeeded) {
    answer["succeeded"] = true;
  }
  return answer;
}

Json LeaseAnswer(const MemoryStore& store, const keyvalue::LeaseReply& reply) {
  return WithHeader(
      store,
      {{"ID", std::to_string(reply.m_lease)},
       {"TTL", std::to_string(duration_cast<seconds>(reply.m_ttl).count())}});
}

Json GrantLease(MemoryStore& store, const Json& body, MonotonicTime now) {
  const seconds ttl(EtcdInteger(body, "TTL"));
  return LeaseAnswer(store, store.Grant(ttl, now));
}

Json KeepAlive(MemoryStore& store, const Json& body, MonotonicTime now) {
  const keyvalue::LeaseId lease = EtcdInteger(body, "ID");
  try {
    return {{"result", LeaseAnswer(store, store.KeepAlive(lease, now))}};
  } catch (const Error&) {
    // For an expired lease the gateway answers with a TTL of zero, which JSON
    // omits.
    return {{"result", WithHeader(store, {{"ID", std::to_string(lease)}})}};
  }
}

Json RevokeLease(MemoryStore& store, const Json& body, MonotonicTime /*now*/) {
  store.Revoke(EtcdInteger(body, "ID"));
  return WithHeader(store);
}

struct GatewayCall {
  CallKind m_kind;
  Json (*m_run)(MemoryStore& store, const Json& body, MonotonicTime now);
};

const std::map<std::string, GatewayCall>& Calls() {
  static const std::map<std::string, GatewayCall> kCalls = {
      {"/v3/kv/range", {CallKind::kGet, &Range}},
      {"/v3/kv/put", {CallKind::kSwap, &Put}},
      {"/v3/kv/deleterange", {CallKind::kSwap, &DeleteRange}},
      {"/v3/kv/txn", {CallKind::kSwap, &Transact}},
      {"/v3/lease/grant", {CallKind::kLease, &GrantLease}},
      {"/v3/lease/keepalive", {CallKind::kLease, &KeepAlive}},
      {"/v3/lease/revoke", {CallKind::kLease, &RevokeLease}}};
  return kCalls;
}

}  // namespace

CallKind KindOf(const std::string& path, const nlohmann::json& body) {
  if (path == "/hosts") {
    return CallKind::kHosts;
  }
  if (path == "/v3/watch") {
    return CallKind::kWatch;
  }
  const auto found = Calls().find(path);
  if (found == Calls().end()) {
    return CallKind::kUnknown;
  }
  const bool is_range = found->second.m_kind == CallKind::kGet &&
                        body.is_object() && body.contains("range_end");
  return is_range ? CallKind::kPrefix : found->second.m_kind;
}

std::string ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kGet:
      return "get";
    case CallKind::kPrefix:
      return "prefix";
    case CallKind::kSwap:
      return "swap";
    case CallKind::kLease:
      return "lease";
    case CallKind::kWatch:
      return "watch";
    case CallKind::kHosts:
      return "hosts";
    case CallKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

nlohmann::json CallGateway(MemoryStore& store,
                           const std::string& path,
                           const nlohmann::json& body,
                           MonotonicTime now) {
  const auto found = Calls().find(path);
  if (found == Calls().end() || !body.is_object()) {
    throw Error(ErrorCode::kProtocol, "unknown call or malformed body");
  }
  store.Expire(now);
  return found->second.m_run(store, body, now);
}

nlohmann::json GatewayHeader(const MemoryStore& store) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(store.revision())},
          {"raft_term", "1"}};
}

}  // namespace hickoryloft::standins
