// The operators' document of one service, parsed and validated.

#ifndef SOURCE_DOCUMENTS_DOCUMENT_H_
#define SOURCE_DOCUMENTS_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::documents {

constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

struct AdapterSpec {
  AdapterId m_id;
  std::string m_version;
  std::uint64_t m_bytes = 0;
};

struct ModelSpec {
  ModelId m_id;
  std::string m_version;
  std::uint64_t m_bytes = 0;  // Size in an engine's memory once loaded.
  std::uint64_t m_peak_bytes =
      0;  // Largest size while loading; at least m_bytes.
  std::uint32_t m_max_replicas = 1;
  std::uint32_t m_min_replicas = 0;
  std::map<AdapterId, AdapterSpec> m_adapters;
};

// A client key, stored only as the digest SHA-256(m_key_salt + key) in
// lower-case hexadecimal; see Document::m_key_salt.
struct KeyDigest {
  std::string m_name;  // Shown to operators; unique in the account.
  std::string m_digest;
};

struct ClientAccountSpec {
  ClientAccountId m_id;
  double m_tokens_per_second = 0;
  std::uint64_t m_burst_tokens = 0;
  double m_weight = 1;  // Relative share when engines are scarce.
  std::vector<KeyDigest> m_keys;
};

// A class of requests with its weight in the accounting of served requests.
struct KindSpec {
  std::string m_name;
  double m_weight = 1;
};

struct RouteSpec {
  std::string m_path;  // A path prefix below the service, starting with '/'.
  std::string m_kind;  // Name of a KindSpec; empty for the default kind.
  bool m_idempotent =
      true;             // False: at most one execution, by Idempotency-Key.
  bool m_open = false;  // True: no key is required.
  std::uint64_t m_cost_tokens = 0;
};

// A plain service, served below /services/<id>/.
struct PlainServiceSpec {
  ServiceId m_id;
  // The longest matching prefix applies; a path without a route is refused.
  std::vector<RouteSpec> m_routes;
};

// Capacity that the document allows the system to use.
struct CapacitySpec {
  std::uint32_t m_loads_per_second = 1;
  std::uint32_t m_loads_at_full_speed = 1;
  std::uint32_t m_adapter_loads_in_flight = 30;
  std::uint64_t m_max_loaded_bytes =
      0;  // Over all engines; 0: no limit beyond the engines' memory.
  std::set<EndpointId> m_draining;  // Endpoints that get no new work.
};

// Service-level objectives for the burn report. Shares are in [0, 1].
struct ObjectivesSpec {
  milliseconds m_first_answer{400};
  double m_first_answer_share = 0.95;
  double m_refused_within_rate_share = 0.001;
  double m_worst_account_share = 0.95;
};

// One service's document. Names of models, adapters, accounts and plain
// services are unique within it only; QualifiedName() makes them unique in the
// fleet.
struct Document {
  ServiceId m_service;
  Revision m_revision = 0;  // Of the key that stores the text; 0: not stored.
  std::string m_key_salt;   // Shared by the document's keys.
  milliseconds m_default_patience{10000};
  std::map<ModelId, ModelSpec> m_models;
  std::map<ClientAccountId, ClientAccountSpec> m_accounts;
  std::map<std::string, KindSpec> m_kinds;
  std::map<ServiceId, PlainServiceSpec> m_plain_services;
  CapacitySpec m_capacity;
  ObjectivesSpec m_objectives;
};

// Returns "<service>/<name>", the name of a model or client account that is
// unique in the fleet. Thread-safe.
inline std::string QualifiedName(const ServiceId& service,
                                 const std::string& name) {
  return service.value() + "/" + name;
}

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_DOCUMENT_H_
