#include "host/report_codec.h"

#include <utility>

namespace hickoryloft::host {

std::unique_ptr<wire::FleetCountsRowT> ToRow(
    const membership::FleetCounts& counts) {
  auto row = std::make_unique<wire::FleetCountsRowT>();
  for (const auto& [key, running] : counts.m_uses) {
    auto use = std::make_unique<wire::EndpointUseRowT>();
    use->endpoint = key.first.value();
    use->model = key.second.value();
    use->running = running;
    row->uses.push_back(std::move(use));
  }
  for (const auto& [key, want] : counts.m_wants) {
    auto entry = std::make_unique<wire::ModelWantRowT>();
    entry->service = key.m_service.value();
    entry->model = key.m_model.value();
    entry->adapter = key.m_adapter.value();
    entry->waiting = static_cast<std::uint32_t>(want.m_waiting);
    entry->arrivals = want.m_arrivals;
    row->wants.push_back(std::move(entry));
  }
  for (const auto& [account, admitted] : counts.m_admitted) {
    auto entry = std::make_unique<wire::AccountUseRowT>();
    entry->account = account.value();
    entry->admitted_tokens = admitted;
    row->accounts.push_back(std::move(entry));
  }
  for (const auto& [endpoint, witnesses] : counts.m_avoided) {
    auto entry = std::make_unique<wire::AvoidedRowT>();
    entry->endpoint = endpoint.value();
    entry->witnesses = static_cast<std::uint32_t>(witnesses);
    row->avoided.push_back(std::move(entry));
  }
  return row;
}

membership::FleetCounts FromRow(const wire::FleetCountsRowT& row) {
  membership::FleetCounts counts;
  for (const auto& use : row.uses) {
    counts.m_uses[{EndpointId(use->endpoint), ModelId(use->model)}] =
        use->running;
  }
  for (const auto& want : row.wants) {
    counts.m_wants[{ServiceId(want->service), ModelId(want->model),
                    AdapterId(want->adapter)}] = {
        .m_waiting = static_cast<int>(want->waiting),
        .m_arrivals = want->arrivals};
  }
  for (const auto& account : row.accounts) {
    counts.m_admitted[ClientAccountId(account->account)] =
        account->admitted_tokens;
  }
  for (const auto& avoided : row.avoided) {
    counts.m_avoided[EndpointId(avoided->endpoint)] =
        static_cast<int>(avoided->witnesses);
  }
  return counts;
}

std::unique_ptr<wire::PlacementNewsT> ToRow(const PlacementNews& news) {
  auto row = std::make_unique<wire::PlacementNewsT>();
  row->fence = news.m_fence;
  row->number = news.m_number;
  std::map<ReplicaMap::Model, wire::EngineAdapterRowT*> by_model;
  for (const auto& [endpoint, model, adapter] : news.m_adapters) {
    auto& entry = by_model[{endpoint, model}];
    if (entry == nullptr) {
      row->adapters.push_back(std::make_unique<wire::EngineAdapterRowT>());
      entry = row->adapters.back().get();
      entry->endpoint = endpoint.value();
      entry->model = model.value();
    }
    entry->adapters.push_back(adapter.value());
  }
  for (const auto& [endpoint, model] : news.m_leaving) {
    auto entry = std::make_unique<wire::EngineModelRowT>();
    entry->endpoint = endpoint.value();
    entry->model = model.value();
    row->leaving_models.push_back(std::move(entry));
  }
  for (const auto& [key, present] : news.m_models) {
    auto entry = std::make_unique<wire::EngineModelRowT>();
    entry->endpoint = key.first.value();
    entry->model = key.second.value();
    entry->present = present;
    row->models.push_back(std::move(entry));
  }
  return row;
}

PlacementNews FromRow(const wire::PlacementNewsT& row) {
  PlacementNews news{.m_fence = row.fence, .m_number = row.number};
  for (const auto& entry : row.adapters) {
    for (const std::string& adapter : entry->adapters) {
      news.m_adapters.emplace(EndpointId(entry->endpoint),
                              ModelId(entry->model), AdapterId(adapter));
    }
  }
  for (const auto& entry : row.leaving_models) {
    news.m_leaving.emplace(EndpointId(entry->endpoint), ModelId(entry->model));
  }
  for (const auto& entry : row.models) {
    news.m_models[{EndpointId(entry->endpoint), ModelId(entry->model)}] =
        entry->present;
  }
  return news;
}

}  // namespace hickoryloft::host
