#include "documents/diff_documents.h"

#include <map>
#include <sstream>

namespace hickoryloft::documents {

namespace {

constexpr std::size_t kShownDigestDigits = 12;

using Leaves = std::map<std::string, std::string>;

template <typename T>
std::string Format(const T& value) {
  std::ostringstream out;
  out.precision(17);
  out << std::boolalpha << value;
  return out.str();
}

void AddModels(const Document& document, Leaves& leaves) {
  for (const auto& [id, model] : document.m_models) {
    const std::string path = "models." + id.value() + '.';
    leaves[path + "version"] = model.m_version;
    leaves[path + "bytes"] = Format(model.m_bytes);
    leaves[path + "peak_bytes"] = Format(model.m_peak_bytes);
    leaves[path + "max_replicas"] = Format(model.m_max_replicas);
    leaves[path + "min_replicas"] = Format(model.m_min_replicas);
    for (const auto& [adapter_id, adapter] : model.m_adapters) {
      const std::string prefix = path + "adapters." + adapter_id.value() + '.';
      leaves[prefix + "version"] = adapter.m_version;
      leaves[prefix + "bytes"] = Format(adapter.m_bytes);
    }
  }
}

void AddAccounts(const Document& document, Leaves& leaves) {
  for (const auto& [id, account] : document.m_accounts) {
    const std::string path = "accounts." + id.value() + '.';
    leaves[path + "tokens_per_second"] = Format(account.m_tokens_per_second);
    leaves[path + "burst_tokens"] = Format(account.m_burst_tokens);
    leaves[path + "weight"] = Format(account.m_weight);
    for (const KeyDigest& key : account.m_keys) {
      leaves[path + "keys." + key.m_name + ".digest"] =
          key.m_digest.substr(0, kShownDigestDigits) + "...";
    }
  }
}

void AddPlainServices(const Document& document, Leaves& leaves) {
  for (const auto& [id, service] : document.m_plain_services) {
    for (const RouteSpec& route : service.m_routes) {
      const std::string path =
          "services." + id.value() + ".routes[" + route.m_path + "].";
      leaves[path + "kind"] = route.m_kind;
      leaves[path + "idempotent"] = Format(route.m_idempotent);
      leaves[path + "open"] = Format(route.m_open);
      leaves[path + "cost_tokens"] = Format(route.m_cost_tokens);
    }
  }
}

void AddCapacity(const CapacitySpec& capacity, Leaves& leaves) {
  leaves["capacity.loads_per_second"] = Format(capacity.m_loads_per_second);
  leaves["capacity.loads_at_full_speed"] =
      Format(capacity.m_loads_at_full_speed);
  leaves["capacity.adapter_loads_in_flight"] =
      Format(capacity.m_adapter_loads_in_flight);
  leaves["capacity.max_loaded_bytes"] = Format(capacity.m_max_loaded_bytes);
  for (const EndpointId& endpoint : capacity.m_draining) {
    leaves["capacity.draining[" + endpoint.value() + "]"] = "true";
  }
}

void AddObjectives(const ObjectivesSpec& objectives, Leaves& leaves) {
  leaves["objectives.first_answer_ms"] =
      Format(objectives.m_first_answer.count());
  leaves["objectives.first_answer_share"] =
      Format(objectives.m_first_answer_share);
  leaves["objectives.refused_within_rate_share"] =
      Format(objectives.m_refused_within_rate_share);
  leaves["objectives.worst_account_share"] =
      Format(objectives.m_worst_account_share);
}

Leaves Flatten(const Document& document) {
  Leaves leaves;
  leaves["key_salt"] = document.m_key_salt;
  leaves["default_patience_ms"] = Format(document.m_default_patience.count());
  for (const auto& [name, kind] : document.m_kinds) {
    leaves["kinds." + name + ".weight"] = Format(kind.m_weight);
  }
  AddModels(document, leaves);
  AddAccounts(document, leaves);
  AddPlainServices(document, leaves);
  AddCapacity(document.m_capacity, leaves);
  AddObjectives(document.m_objectives, leaves);
  return leaves;
}

}  // namespace

std::vector<DocumentChange> DiffDocuments(const Document& before,
                                          const Document& after) {
  const Leaves old_leaves = Flatten(before);
  const Leaves new_leaves = Flatten(after);
  std::map<std::string, DocumentChange> changes;
  for (const auto& [path, value] : old_leaves) {
    const auto found = new_leaves.find(path);
    if (found == new_leaves.end()) {
      changes[path] = {ChangeKind::kRemoved, path, value, ""};
    } else if (found->second != value) {
      changes[path] = {ChangeKind::kChanged, path, value, found->second};
    }
  }
  for (const auto& [path, value] : new_leaves) {
    if (!old_leaves.contains(path)) {
      changes[path] = {ChangeKind::kAdded, path, "", value};
    }
  }
  std::vector<DocumentChange> ordered;
  ordered.reserve(changes.size());
  for (auto& [path, change] : changes) {
    ordered.push_back(std::move(change));
  }
  return ordered;
}

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "unknown";
}

}  // namespace hickoryloft::documents
