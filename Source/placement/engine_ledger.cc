#include "placement/engine_ledger.h"

#include <algorithm>

namespace hickoryloft::placement {

namespace {

// An adapter's transfer is assumed complete after this time: with four
// transfers to each of a hundred engines, the weight store needs 0.3 s for
// one.
constexpr Duration kAdapterTransferTime = seconds(1);

}  // namespace

void ModelSizes::Update(const fleet::EngineSpec& spec,
                        const std::function<bool(const ModelId&)>& is_held) {
  m_engine_megabytes = spec.m_megabytes;
  std::erase_if(m_sizes, [&](const auto& known) {
    return !spec.m_models.contains(known.first) && !is_held(known.first);
  });
  for (const auto& [model, listed] : spec.m_models) {
    m_sizes[model] = {.m_megabytes = listed.m_megabytes,
                      .m_adapter_megabytes = listed.m_adapters > 0
                                                 ? listed.m_adapter_megabytes
                                                 : 0};
  }
  m_largest_adapter = 0;
  for (const auto& [model, sizes] : m_sizes) {
    m_largest_adapter = std::max(m_largest_adapter, sizes.m_adapter_megabytes);
  }
}

double ModelSizes::MegabytesOf(const ModelId& model) const {
  const auto known = m_sizes.find(model);
  return known == m_sizes.end() ? m_engine_megabytes
                                : known->second.m_megabytes;
}

double ModelSizes::AdapterMegabytesOf(const ModelId& model) const {
  const auto known = m_sizes.find(model);
  return known == m_sizes.end() || known->second.m_adapter_megabytes == 0
             ? m_largest_adapter
             : known->second.m_adapter_megabytes;
}

double ModelSizes::AdapterReserve(const fleet::EngineSpec& spec) const {
  return m_largest_adapter * spec.m_adapter_slots;
}

void EngineLedger::ApplyReport(const fleet::EngineReport& report,
                               MonotonicTime now) {
  m_least_accepted_orders = report.m_accepted_orders;
  m_accepted_orders = report.m_accepted_orders;
  m_reported_at = now;
  m_reported_models.clear();
  for (const auto& [model, adapters] : report.m_models) {
    m_reported_models.insert(model);
    m_absent_models.erase(model);
    auto& held = m_adapters[model];
    for (auto at = held.begin(); at != held.end();) {
      at = adapters.contains(at->first) ? std::next(at) : held.erase(at);
    }
    for (const AdapterId& adapter : adapters) {
      held.try_emplace(adapter, now);
    }
  }
  // Adapters in transfer occupy slots like loaded ones.
  for (const auto& [model, adapter] : report.m_arriving_adapters) {
    m_adapters[model].try_emplace(adapter, now);
  }
}

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

double ModelMegabytes(const fleet::EndpointEntry& entry,
                      const EngineLedger& ledger,
                      const ModelSizes& sizes) {
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
  double used = 0;
  for (const ModelId& model : models) {
    used += sizes.MegabytesOf(model);
  }
  return used;
}

double AdapterMegabytes(const EngineLedger& ledger, const ModelSizes& sizes) {
  double used = 0;
  for (const auto& [model, adapters] : ledger.m_adapters) {
    used +=
        sizes.AdapterMegabytesOf(model) * static_cast<double>(adapters.size());
  }
  return used;
}

double UsedMegabytes(const fleet::EndpointEntry& entry,
                     const EngineLedger& ledger,
                     const fleet::EngineSpec& spec,
                     const ModelSizes& sizes) {
  return ModelMegabytes(entry, ledger, sizes) +
         std::max(AdapterMegabytes(ledger, sizes), sizes.AdapterReserve(spec));
}

}  // namespace hickoryloft::placement
