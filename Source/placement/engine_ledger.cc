#include "placement/engine_ledger.h"

namespace hickoryloft::placement {

namespace {

// Memory reserved for each adapter slot: the largest adapters need 66 MB.
constexpr double kAdapterSlotMegabytes = 80;
// An adapter's transfer is assumed complete after this time: with four
// transfers to each of a hundred engines, the weight store needs 0.3 s for
// one.
constexpr Duration kAdapterTransferTime = seconds(1);

double ModelMegabytes(const ModelId& model, const fleet::EngineSpec& spec) {
  const auto known = spec.m_models.find(model);
  return known == spec.m_models.end() ? spec.m_megabytes
                                      : known->second.m_megabytes;
}

}  // namespace

int EngineLedger::AdapterCount() const {
  std::size_t count = 0;
  for (const auto& [model, adapters] : m_adapters) {
    count += adapters.size();
  }
  return static_cast<int>(count);
}

std::optional<std::pair<ModelId, AdapterId>> EngineLedger::OldestAdapter(
    MonotonicTime now) const {
  std::optional<std::pair<ModelId, AdapterId>> oldest;
  MonotonicTime oldest_since = now - kAdapterTransferTime;
  for (const auto& [model, adapters] : m_adapters) {
    for (const auto& [adapter, since] : adapters) {
      if (since <= oldest_since) {
        oldest_since = since;
        oldest = {model, adapter};
      }
    }
  }
  return oldest;
}

double UsedMegabytes(const fleet::EndpointEntry& entry,
                     const EngineLedger& ledger,
                     const fleet::EngineSpec& spec) {
  std::unordered_set<ModelId> models = ledger.m_reported_models;
  for (const auto& [model, adapters] : entry.m_models) {
    if (ledger.Holds(entry, model)) {
      models.insert(model);
    }
  }
  if (ledger.m_open && ledger.m_open->m_adapter.empty() &&
      ledger.m_open->m_operation == fleet::OrderOperation::kLoad) {
    models.insert(ledger.m_open->m_model);
  }
  double used = kAdapterSlotMegabytes * spec.m_adapter_slots;
  for (const ModelId& model : models) {
    used += ModelMegabytes(model, spec);
  }
  return used;
}

}  // namespace hickoryloft::placement
