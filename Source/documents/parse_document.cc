#include "documents/parse_document.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include "base/error.h"
#include "documents/table_reader.h"
#include "settings/toml_text.h"

namespace hickoryloft::documents {

namespace {

constexpr std::size_t kDigestHexDigits = 64;
constexpr std::uint64_t kMaxPatienceMs = 3'600'000;
constexpr std::uint64_t kMaxBytes = std::uint64_t{1} << 53U;
constexpr std::uint64_t kMaxTokens = std::uint64_t{1} << 53U;
constexpr double kMaxTokensPerSecond = 1e12;
constexpr double kMaxWeight = 1e6;
constexpr double kMinWeight = 1e-6;
constexpr std::uint64_t kMaxReplicas = 100'000;
constexpr std::uint64_t kMaxLoads = 1'000'000;

AdapterSpec ParseAdapter(TableReader reader) {
  AdapterSpec adapter{
      .m_id = AdapterId(reader.name()),
      .m_version = reader.String("version"),
      .m_bytes = reader.Unsigned("bytes", {1, kMaxBytes}),
  };
  reader.CheckName("version", adapter.m_version);
  reader.RejectUnknownKeys();
  return adapter;
}

ModelSpec ParseModel(TableReader reader) {
  ModelSpec model{
      .m_id = ModelId(reader.name()),
      .m_version = reader.String("version"),
      .m_bytes = reader.Unsigned("bytes", {1, kMaxBytes}),
  };
  reader.CheckName("version", model.m_version);
  model.m_peak_bytes =
      reader.Unsigned("peak_bytes", {0, kMaxBytes}, model.m_bytes);
  if (model.m_peak_bytes < model.m_bytes) {
    reader.Fail("peak_bytes",
                "must be at least 'bytes', " + std::to_string(model.m_bytes));
  }
  model.m_max_replicas = static_cast<std::uint32_t>(
      reader.Unsigned("max_replicas", {1, kMaxReplicas}, 1));
  model.m_min_replicas = static_cast<std::uint32_t>(
      reader.Unsigned("min_replicas", {0, kMaxReplicas}, 0));
  if (model.m_min_replicas > model.m_max_replicas) {
    reader.Fail("min_replicas", "must be at most 'max_replicas', " +
                                    std::to_string(model.m_max_replicas));
  }
  for (const TableReader& adapter : reader.NamedTables("adapters")) {
    model.m_adapters.emplace(AdapterId(adapter.name()), ParseAdapter(adapter));
  }
  reader.RejectUnknownKeys();
  return model;
}

bool IsDigest(const std::string& text) {
  const auto is_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kDigestHexDigits &&
         std::all_of(text.begin(), text.end(), is_digit);
}

KeyDigest ParseKey(TableReader reader) {
  KeyDigest key{
      .m_name = reader.name(),
      .m_digest = reader.String("digest"),
  };
  if (!IsDigest(key.m_digest)) {
    reader.Fail("digest",
                "expected the 64 lower-case hexadecimal digits of "
                "SHA-256(key_salt + key)");
  }
  reader.RejectUnknownKeys();
  return key;
}

ClientAccountSpec ParseAccount(TableReader reader) {
  ClientAccountSpec account{
      .m_id = ClientAccountId(reader.name()),
      .m_tokens_per_second =
          reader.Number("tokens_per_second", {0, kMaxTokensPerSecond}),
      .m_burst_tokens = reader.Unsigned("burst_tokens", {0, kMaxTokens}),
      .m_weight = reader.Number("weight", {kMinWeight, kMaxWeight}, 1),
  };
  for (const TableReader& key : reader.NamedTables("keys")) {
    account.m_keys.push_back(ParseKey(key));
  }
  std::sort(account.m_keys.begin(), account.m_keys.end(),
            [](const KeyDigest& left, const KeyDigest& right) {
              return left.m_name < right.m_name;
            });
  reader.RejectUnknownKeys();
  return account;
}

bool IsPath(const std::string& path) {
  const auto is_allowed = [](char c) {
    return std::isgraph(static_cast<unsigned char>(c)) != 0 && c != '?' &&
           c != '#' && c != '%' && c != '\\';
  };
  return !path.empty() && path[0] == '/' &&
         std::all_of(path.begin(), path.end(), is_allowed) &&
         path.find("//") == std::string::npos &&
         (path + '/').find("/../") == std::string::npos &&
         (path + '/').find("/./") == std::string::npos;
}

RouteSpec ParseRoute(TableReader reader, const Document& document) {
  RouteSpec route{
      .m_path = reader.String("path"),
      .m_kind = reader.String("kind", std::string()),
      .m_idempotent = reader.Boolean("idempotent", true),
      .m_open = reader.Boolean("open", false),
      .m_cost_tokens = reader.Unsigned("cost_tokens", {0, kMaxTokens}, 0),
  };
  if (!IsPath(route.m_path)) {
    reader.Fail("path",
                "expected a path that starts with '/', without '?', '#', '%', "
                "'//', '/./' or '/../'");
  }
  if (!route.m_kind.empty() && !document.m_kinds.contains(route.m_kind)) {
    reader.Fail("kind", "no table [kinds." + route.m_kind +
                            "]; add it or use one of the kinds");
  }
  // The execution of a non-idempotent request is recorded under its client
  // account, which a request without a key doesn't have.
  if (route.m_open && !route.m_idempotent) {
    reader.Fail("open", "a route that is not idempotent cannot be open");
  }
  reader.RejectUnknownKeys();
  return route;
}

PlainServiceSpec ParsePlainService(TableReader reader,
                                   const Document& document) {
  PlainServiceSpec service{.m_id = ServiceId(reader.name())};
  std::map<std::string, std::string> route_by_path;
  for (const TableReader& item : reader.NamedTables("routes")) {
    RouteSpec route = ParseRoute(item, document);
    const auto [other, added] =
        route_by_path.emplace(route.m_path, item.name());
    if (!added) {
      item.Fail("path", "is the path of route '" + other->second + "' too");
    }
    service.m_routes.push_back(std::move(route));
  }
  std::sort(service.m_routes.begin(), service.m_routes.end(),
            [](const RouteSpec& left, const RouteSpec& right) {
              return left.m_path < right.m_path;
            });
  reader.RejectUnknownKeys();
  return service;
}

CapacitySpec ParseCapacity(TableReader reader) {
  CapacitySpec capacity;
  capacity.m_loads_per_second = static_cast<std::uint32_t>(reader.Unsigned(
      "loads_per_second", {1, kMaxLoads}, capacity.m_loads_per_second));
  capacity.m_loads_at_full_speed = static_cast<std::uint32_t>(reader.Unsigned(
      "loads_at_full_speed", {1, kMaxLoads}, capacity.m_loads_at_full_speed));
  capacity.m_adapter_loads_in_flight = static_cast<std::uint32_t>(
      reader.Unsigned("adapter_loads_in_flight", {1, kMaxLoads},
                      capacity.m_adapter_loads_in_flight));
  capacity.m_max_loaded_bytes =
      reader.Unsigned("max_loaded_bytes", {0, kMaxBytes}, 0);
  for (const std::string& endpoint : reader.StringList("draining")) {
    reader.CheckName("draining", endpoint);
    if (!capacity.m_draining.insert(EndpointId(endpoint)).second) {
      reader.Fail("draining", "'" + endpoint + "' is listed twice");
    }
  }
  reader.RejectUnknownKeys();
  return capacity;
}

ObjectivesSpec ParseObjectives(TableReader reader) {
  ObjectivesSpec objectives;
  objectives.m_first_answer = milliseconds(reader.Unsigned(
      "first_answer_ms", {1, kMaxPatienceMs},
      static_cast<std::uint64_t>(objectives.m_first_answer.count())));
  objectives.m_first_answer_share = reader.Number(
      "first_answer_share", {0, 1}, objectives.m_first_answer_share);
  objectives.m_refused_within_rate_share =
      reader.Number("refused_within_rate_share", {0, 1},
                    objectives.m_refused_within_rate_share);
  objectives.m_worst_account_share = reader.Number(
      "worst_account_share", {0, 1}, objectives.m_worst_account_share);
  reader.RejectUnknownKeys();
  return objectives;
}

// The client account of a request is looked up by digest, so no two keys may
// share one.
void RejectSharedDigests(const Document& document, const TableReader& reader) {
  std::map<std::string, std::string> key_by_digest;
  for (const auto& [id, account] : document.m_accounts) {
    for (const KeyDigest& key : account.m_keys) {
      const std::string name = id.value() + ".keys." + key.m_name;
      const auto [other, added] = key_by_digest.emplace(key.m_digest, name);
      if (!added) {
        reader.Fail("accounts", "'" + name + "' has the digest of '" +
                                    other->second + "'; give each its own key");
      }
    }
  }
  if (!key_by_digest.empty() && document.m_key_salt.empty()) {
    reader.Fail("key_salt", "is required by a document with keys; add it");
  }
}

KindSpec ParseKind(TableReader reader) {
  KindSpec kind{
      .m_name = reader.name(),
      .m_weight = reader.Number("weight", {kMinWeight, kMaxWeight}, 1),
  };
  reader.RejectUnknownKeys();
  return kind;
}

Document ReadDocument(const ServiceId& service, TableReader reader) {
  reader.CheckName("", service.value());
  Document document{.m_service = service};
  document.m_key_salt = reader.String("key_salt", std::string());
  document.m_default_patience = milliseconds(reader.Unsigned(
      "default_patience_ms", {1, kMaxPatienceMs},
      static_cast<std::uint64_t>(document.m_default_patience.count())));
  if (const auto capacity = reader.Table("capacity")) {
    document.m_capacity = ParseCapacity(*capacity);
  }
  if (const auto objectives = reader.Table("objectives")) {
    document.m_objectives = ParseObjectives(*objectives);
  }
  for (const TableReader& kind : reader.NamedTables("kinds")) {
    document.m_kinds.emplace(kind.name(), ParseKind(kind));
  }
  for (const TableReader& model : reader.NamedTables("models")) {
    document.m_models.emplace(ModelId(model.name()), ParseModel(model));
  }
  for (const TableReader& account : reader.NamedTables("accounts")) {
    document.m_accounts.emplace(ClientAccountId(account.name()),
                                ParseAccount(account));
  }
  for (const TableReader& plain : reader.NamedTables("services")) {
    document.m_plain_services.emplace(ServiceId(plain.name()),
                                      ParsePlainService(plain, document));
  }
  reader.RejectUnknownKeys();
  RejectSharedDigests(document, reader);
  return document;
}

}  // namespace

Document ParseDocument(const ServiceId& service,
                       const std::string& text,
                       const std::string& source) {
  if (text.size() > kMaxDocumentBytes) {
    throw Error(ErrorCode::kInvalidDocument,
                source + ": has " + std::to_string(text.size()) +
                    " bytes; the limit is " +
                    std::to_string(kMaxDocumentBytes) +
                    "; split it into several services");
  }
  const toml::table root =
      settings::ParseTomlText(text, source, ErrorCode::kInvalidDocument);
  return ReadDocument(service, TableReader(root, "", source));
}

}  // namespace hickoryloft::documents
