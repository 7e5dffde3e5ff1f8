#include "host/report_codec.h"

#include <utility>

namespace hickoryloft::host {

namespace {

std::vector<wire::EndpointLevel> ToRows(
    const membership::EndpointLevels& levels) {
  std::vector<wire::EndpointLevel> rows;
  rows.reserve(levels.size());
  for (const auto& [endpoint, level] : levels) {
    rows.emplace_back(endpoint, level);
  }
  return rows;
}

membership::EndpointLevels FromRows(
    const std::vector<wire::EndpointLevel>& rows) {
  membership::EndpointLevels levels;
  levels.reserve(rows.size());
  for (const wire::EndpointLevel& row : rows) {
    levels.emplace_back(row.endpoint(), row.level());
  }
  return levels;
}

}  // namespace

std::unique_ptr<wire::FleetCountsRowT> ToRow(
    const membership::FleetCounts& counts) {
  auto row = std::make_unique<wire::FleetCountsRowT>();
  row->running = ToRows(counts.m_running);
  row->avoided = ToRows(counts.m_avoided);
  for (const auto& [account, admitted] : counts.m_admitted) {
    auto entry = std::make_unique<wire::AccountUseRowT>();
    entry->account = account.value();
    entry->admitted_tokens = admitted;
    row->accounts.push_back(std::move(entry));
  }
  for (const auto& [endpoint, started_at_ms] : counts.m_leaving) {
    auto entry = std::make_unique<wire::LeavingRowT>();
    entry->endpoint = endpoint.value();
    entry->started_at_ms = started_at_ms;
    row->leaving.push_back(std::move(entry));
  }
  return row;
}

membership::FleetCounts FromRow(const wire::FleetCountsRowT& row) {
  membership::FleetCounts counts{.m_running = FromRows(row.running),
                                 .m_avoided = FromRows(row.avoided)};
  for (const auto& account : row.accounts) {
    counts.m_admitted[ClientAccountId(account->account)] =
        account->admitted_tokens;
  }
  for (const auto& leaving : row.leaving) {
    counts.m_leaving[EndpointId(leaving->endpoint)] = leaving->started_at_ms;
  }
  return counts;
}

std::unique_ptr<wire::EngineDemandRowT> ToRow(
    const membership::EngineDemand& demand) {
  auto row = std::make_unique<wire::EngineDemandRowT>();
  for (const auto& [key, running] : demand.m_running) {
    auto use = std::make_unique<wire::EndpointUseRowT>();
    use->endpoint = key.first.value();
    use->model = key.second.value();
    use->running = running;
    row->uses.push_back(std::move(use));
  }
  for (const auto& [key, want] : demand.m_entries) {
    auto entry = std::make_unique<wire::ModelWantRowT>();
    entry->service = key.m_service.value();
    entry->model = key.m_model.value();
    entry->adapter = key.m_adapter.value();
    entry->waiting = static_cast<std::uint32_t>(want.m_waiting);
    entry->arrivals = want.m_arrivals;
    row->wants.push_back(std::move(entry));
  }
  return row;
}

membership::EngineDemand FromRow(const wire::EngineDemandRowT& row) {
  membership::EngineDemand demand;
  for (const auto& use : row.uses) {
    demand.m_running[{EndpointId(use->endpoint), ModelId(use->model)}] =
        use->running;
  }
  for (const auto& want : row.wants) {
    demand.m_entries[{ServiceId(want->service), ModelId(want->model),
                      AdapterId(want->adapter)}] = {
        .m_waiting = static_cast<int>(want->waiting),
        .m_arrivals = want->arrivals};
  }
  return demand;
}

wire::PlacementUpdateT ToRow(const placement::PlacementUpdate& update) {
  wire::PlacementUpdateT row;
  row.fence = update.m_version.m_fence;
  row.number = update.m_version.m_number;
  row.whole = update.m_is_full_state;
  for (const placement::PlacementChange& change : update.m_changes) {
    auto entry = std::make_unique<wire::PlacementChangeRowT>();
    entry->number = change.m_number;
    entry->fact = static_cast<wire::PlacementFact>(change.m_fact);
    entry->endpoint = change.m_endpoint.value();
    entry->model = change.m_model.value();
    entry->adapter = change.m_adapter.value();
    entry->holds = change.m_holds;
    row.changes.push_back(std::move(entry));
  }
  return row;
}

placement::PlacementUpdate FromRow(const wire::PlacementUpdateT& row) {
  placement::PlacementUpdate update{
      .m_version = {.m_fence = row.fence, .m_number = row.number},
      .m_is_full_state = row.whole};
  for (const auto& change : row.changes) {
    if (change->fact > wire::PlacementFact::MAX) {
      continue;
    }
    update.m_changes.push_back(
        {.m_number = change->number,
         .m_fact = static_cast<placement::PlacementFact>(change->fact),
         .m_endpoint = EndpointId(change->endpoint),
         .m_model = ModelId(change->model),
         .m_adapter = AdapterId(change->adapter),
         .m_holds = change->holds});
  }
  return update;
}

wire::StoreChangesT ToRow(const fleet::ChangeSpan& span) {
  wire::StoreChangesT row;
  row.from_revision = span.m_from;
  row.to_revision = span.m_to;
  row.ask_service = span.m_read_from_service;
  for (const keyvalue::WatchEvent& event : span.m_events) {
    const keyvalue::KeyValue& item = event.m_item;
    auto change = std::make_unique<wire::StoreChangeRowT>();
    change->key = item.m_key;
    change->value.assign(item.m_value.begin(), item.m_value.end());
    change->created = item.m_create_revision;
    change->revision = item.m_mod_revision;
    change->lease = item.m_lease;
    change->deleted = event.m_deleted;
    row.changes.push_back(std::move(change));
  }
  return row;
}

fleet::ChangeSpan FromRow(const wire::StoreChangesT& row) {
  fleet::ChangeSpan span{.m_from = row.from_revision,
                         .m_to = row.to_revision,
                         .m_read_from_service = row.ask_service};
  for (const auto& change : row.changes) {
    span.m_events.push_back(
        {.m_deleted = change->deleted,
         .m_item = {
             .m_key = change->key,
             .m_value = std::string(change->value.begin(), change->value.end()),
             .m_create_revision = change->created,
             .m_mod_revision = change->revision,
             .m_lease = change->lease}});
  }
  return span;
}

}  // namespace hickoryloft::host
