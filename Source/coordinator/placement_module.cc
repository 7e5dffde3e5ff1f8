#include "coordinator/placement_module.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hashing.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {
namespace {

constexpr std::string_view kClaimPrefix = "placement/";
// An endpoint that has been out of the host list for this long is queried, and
// removed if it does not answer.
constexpr Duration kDelistedCheckDelay = seconds(10);

ClaimName ClaimOf(const ModelId& model) {
  return std::string(kClaimPrefix) +
         std::to_string(StableHash(model.value()) % kPlacementShards);
}

placement::CatalogModel ToCatalog(const documents::Document& document,
                                  const documents::ModelSpec& spec) {
  placement::CatalogModel model{
      .m_id = ModelId(
          documents::QualifiedName(document.m_service, spec.m_id.value())),
      .m_version = spec.m_version,
      .m_bytes = spec.m_bytes,
      .m_peak_bytes = std::max(spec.m_peak_bytes, spec.m_bytes),
      .m_max_replicas = spec.m_max_replicas,
      .m_min_replicas = spec.m_min_replicas};
  for (const auto& [id, adapter] : spec.m_adapters) {
    model.m_adapters[id] = {.m_version = adapter.m_version,
                            .m_bytes = adapter.m_bytes};
  }
  return model;
}

placement::Policies DefaultPolicies() {
  return {
      .m_endpoint = std::make_unique<placement::TierAwarePolicy>(),
      .m_retention = std::make_unique<placement::HistogramRetentionPolicy>(
          placement::kRetentionDefaults),
      .m_load_order = std::make_unique<placement::EarliestDeadlinePolicy>()};
}

// Divides `total` as evenly as possible into `count` parts and returns the part
// at `index`.
std::uint32_t EvenShare(std::uint32_t total,
                        std::size_t index,
                        std::size_t count) {
  const auto parts = static_cast<std::uint32_t>(count);
  return total / parts + (index < total % parts ? 1 : 0);
}

}  // namespace

PlacementModule::PlacementModule(Core& core,
                                 endpoint::OrderService& orders,
                                 keyvalue::HostList& host_list)
    : m_core(core),
      m_orders(orders),
      m_observer(core, orders, host_list, *this) {}

std::vector<ClaimName> PlacementModule::WantedClaims() const {
  std::set<ClaimName> claims;
  for (const documents::Document& document : m_core.Documents()) {
    for (const auto& [id, spec] : document.m_models) {
      claims.insert(ClaimOf(
          ModelId(documents::QualifiedName(document.m_service, id.value()))));
    }
  }
  return {claims.begin(), claims.end()};
}

std::optional<ClaimName> PlacementModule::ClaimFor(
    const wire::EnvelopeT& request) const {
  if (const auto* demand = request.body.AsDemandRequest()) {
    return ClaimOf(ModelId(demand->model));
  }
  if (const auto* release = request.body.AsReleaseRequest()) {
    return ClaimOf(ModelId(release->model));
  }
  return std::nullopt;
}

void PlacementModule::HandleRequest(const ClaimName& claim,
                                    wire::EnvelopeT request,
                                    Responder respond) {
  if (request.body.AsReleaseRequest() != nullptr) {
    HandleRelease(claim, request, respond);
    return;
  }
  HandleDemand(claim, std::move(request), std::move(respond));
}

void PlacementModule::HandleDemand(const ClaimName& claim,
                                   wire::EnvelopeT request,
                                   Responder respond) {
  const auto held = m_held_shards.find(claim);
  const auto* body = request.body.AsDemandRequest();
  if (held == m_held_shards.end() || held->second.m_handed_over ||
      body == nullptr) {
    respond(wire::MakeReply(
        request, wire::ToRequestFailed(Error(ErrorCode::kUnavailable,
                                             "the claim is not held here"))));
    return;
  }
  const placement::Demand demand{.m_id = ++m_last_demand,
                                 .m_model = ModelId(body->model),
                                 .m_adapter = AdapterId(body->adapter),
                                 .m_patience = milliseconds(body->patience_ms),
                                 .m_requests = body->requests};
  m_open_demands[demand.m_id] = {.m_claim = claim,
                                 .m_request = std::move(request),
                                 .m_respond = std::move(respond)};
  ExecuteEffects(claim, held->second.m_fence,
                 held->second.m_shard->OnDemand(demand, m_core.Now()));
}

void PlacementModule::HandleRelease(const ClaimName& claim,
                                    const wire::EnvelopeT& request,
                                    const Responder& respond) {
  const auto held = m_held_shards.find(claim);
  const auto* body = request.body.AsReleaseRequest();
  wire::ReleaseReplyT reply;
  if (held != m_held_shards.end() && !held->second.m_handed_over) {
    const placement::ReplicaKey replica{
        .m_artifact = {.m_model = ModelId(body->model),
                       .m_adapter = AdapterId(body->adapter),
                       .m_version = body->version},
        .m_endpoint = EndpointId(body->endpoint)};
    const MonotonicTime now = m_core.Now();
    placement::Shard& shard = *held->second.m_shard;
    reply.released = shard.GrantsRelease(replica, body->worth, now);
    ExecuteEffects(claim, held->second.m_fence,
                   shard.OnReleaseRequested(replica, body->worth, now));
  }
  respond(wire::MakeReply(request, std::move(reply)));
}

bool PlacementModule::HandleNotice(const HostId& /*from*/,
                                   const wire::EnvelopeT& notice) {
  const auto* update = notice.body.AsEndpointUpdate();
  if (update == nullptr) {
    return false;
  }
  m_observer.OnUpdate(*update);
  return true;
}

void PlacementModule::OnClaimHeld(
    const ClaimName& claim,
    FencingNumber fence,
    const std::optional<std::string>& /*hand_over*/) {
  auto shard = std::make_unique<placement::Shard>(
      placement::ShardSettings{.m_scope = claim}, DefaultPolicies(), fence);
  const MonotonicTime now = m_core.Now();
  shard->SetCatalog(CatalogOf(claim), BudgetsOf(claim), now);
  for (const auto& [id, entry] : m_observer.table().entries()) {
    if (entry.m_state.kind == wire::EndpointKind::Engine) {
      shard->OnEndpoint(m_observer.table().PlacementViewOf(id), now);
    }
  }
  placement::Effects effects = shard->Start();
  m_held_shards[claim] = {.m_fence = fence, .m_shard = std::move(shard)};
  ExecuteEffects(claim, fence, std::move(effects));
}

void PlacementModule::OnClaimLost(const ClaimName& claim) {
  m_held_shards.erase(claim);
  RefuseOpenDemands(claim);
}

std::string PlacementModule::PrepareHandOver(const ClaimName& claim) {
  // The records hold all that the next holder needs.
  const auto held = m_held_shards.find(claim);
  if (held != m_held_shards.end()) {
    held->second.m_handed_over = true;
  }
  RefuseOpenDemands(claim);
  return "";
}

void PlacementModule::RefuseOpenDemands(const ClaimName& claim) {
  std::vector<OpenDemand> open;
  std::erase_if(m_open_demands, [&](auto& item) {
    if (item.second.m_claim != claim) {
      return false;
    }
    open.push_back(std::move(item.second));
    return true;
  });
  for (const OpenDemand& demand : open) {
    demand.m_respond(wire::MakeReply(
        demand.m_request,
        wire::ToRequestFailed(
            Error(ErrorCode::kUnavailable, "the claim has moved on"))));
  }
}

bool PlacementModule::HasOpenWork(const ClaimName& claim) const {
  const auto held = m_held_shards.find(claim);
  return held != m_held_shards.end() && held->second.m_shard->HasOpenWork();
}

void PlacementModule::OnDocumentsChanged() {
  m_observer.OnDocumentsChanged();
  const MonotonicTime now = m_core.Now();
  for (const ClaimName& claim : HeldClaims()) {
    const auto held = m_held_shards.find(claim);
    if (held != m_held_shards.end()) {
      ExecuteEffects(claim, held->second.m_fence,
                     held->second.m_shard->SetCatalog(CatalogOf(claim),
                                                      BudgetsOf(claim), now));
    }
  }
}

void PlacementModule::OnMembersChanged() {
  m_observer.OnMembersChanged();
}

void PlacementModule::OnEntryConnected(
    const std::function<void(const wire::EnvelopeT&)>& send) {
  m_observer.OnEntryConnected(send);
}

void PlacementModule::OnTick(MonotonicTime now) {
  m_observer.OnTick(now);
  CheckDelistedEndpoints(now);
  for (const ClaimName& claim : HeldClaims()) {
    const auto held = m_held_shards.find(claim);
    if (held != m_held_shards.end() && !held->second.m_handed_over) {
      ExecuteEffects(claim, held->second.m_fence,
                     held->second.m_shard->OnTick(now));
    }
  }
}

std::vector<ClaimName> PlacementModule::HeldClaims() const {
  std::vector<ClaimName> claims;
  for (const auto& [claim, held] : m_held_shards) {
    claims.push_back(claim);
  }
  return claims;
}

void PlacementModule::OnEndpointsChanged(const EndpointSet& endpoints) {
  const EndpointTable& table = m_observer.table();
  const MonotonicTime now = m_core.Now();
  for (const EndpointId& id : endpoints) {
    const EndpointEntry* entry = table.Find(id);
    if (entry == nullptr) {
      m_delisted_endpoints.try_emplace(
          id,
          DelistedEndpoint{.m_address = m_last_addresses[id], .m_since = now});
      continue;
    }
    m_delisted_endpoints.erase(id);
    m_last_addresses[id] = table.AddressOf(id);
    if (entry->m_state.kind != wire::EndpointKind::Engine) {
      continue;
    }
    for (const ClaimName& claim : HeldClaims()) {
      const auto held = m_held_shards.find(claim);
      if (held != m_held_shards.end()) {
        ExecuteEffects(
            claim, held->second.m_fence,
            held->second.m_shard->OnEndpoint(table.PlacementViewOf(id), now));
      }
    }
  }
}

void PlacementModule::OnInventory(const EndpointId& endpoint,
                                  const endpoint::InventoryReport& report,
                                  MonotonicTime requested_at) {
  for (const ClaimName& claim : HeldClaims()) {
    const auto held = m_held_shards.find(claim);
    if (held != m_held_shards.end()) {
      ExecuteEffects(claim, held->second.m_fence,
                     held->second.m_shard->OnInventory(
                         endpoint, report, requested_at, m_core.Now()));
    }
  }
}

void PlacementModule::CheckDelistedEndpoints(MonotonicTime now) {
  for (auto& [id, delisted] : m_delisted_endpoints) {
    if (now - delisted.m_since < kDelistedCheckDelay ||
        delisted.m_inventory_requested) {
      continue;
    }
    delisted.m_inventory_requested = true;
    std::weak_ptr<bool> alive = m_alive;
    m_orders.FetchInventory(
        delisted.m_address,
        [this, alive,
         endpoint = id](const Result<endpoint::InventoryReport>& reply) {
          if (alive.expired()) {
            return;
          }
          if (!reply.ok()) {
            RemoveDelistedEndpoint(endpoint);
            return;
          }
          const auto found = m_delisted_endpoints.find(endpoint);
          if (found != m_delisted_endpoints.end()) {
            found->second = {.m_address = found->second.m_address,
                             .m_since = m_core.Now()};
          }
        });
  }
}

void PlacementModule::RemoveDelistedEndpoint(const EndpointId& endpoint) {
  if (m_delisted_endpoints.erase(endpoint) == 0) {
    return;
  }
  m_last_addresses.erase(endpoint);
  for (const ClaimName& claim : HeldClaims()) {
    const auto held = m_held_shards.find(claim);
    if (held != m_held_shards.end()) {
      ExecuteEffects(
          claim, held->second.m_fence,
          held->second.m_shard->OnEndpointRemoved(endpoint, m_core.Now()));
    }
  }
}

placement::Catalog PlacementModule::CatalogOf(const ClaimName& claim) const {
  placement::Catalog catalog;
  for (const documents::Document& document : m_core.Documents()) {
    for (const auto& [id, spec] : document.m_models) {
      placement::CatalogModel model = ToCatalog(document, spec);
      if (ClaimOf(model.m_id) == claim) {
        catalog[model.m_id] = std::move(model);
      }
    }
  }
  return catalog;
}

std::map<ServiceId, placement::LoadBudget> PlacementModule::BudgetsOf(
    const ClaimName& claim) const {
  std::map<ServiceId, placement::LoadBudget> budgets;
  const std::vector<ClaimName> claims = WantedClaims();
  const auto own = std::find(claims.begin(), claims.end(), claim);
  if (own == claims.end()) {
    return budgets;
  }
  const auto index = static_cast<std::size_t>(own - claims.begin());
  for (const documents::Document& document : m_core.Documents()) {
    const documents::CapacitySpec& capacity = document.m_capacity;
    budgets[document.m_service] = {
        .m_store = {.m_loads_per_second = capacity.m_loads_per_second,
                    .m_loads_at_full_speed = capacity.m_loads_at_full_speed},
        .m_adapter_loads_in_flight = EvenShare(
            capacity.m_adapter_loads_in_flight, index, claims.size())};
  }
  return budgets;
}

PlacementModule::HeldShard* PlacementModule::FindHeldShard(
    const ClaimName& claim,
    FencingNumber fence) {
  const auto found = m_held_shards.find(claim);
  if (found == m_held_shards.end() || found->second.m_fence != fence) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace hickoryloft::coordinator
