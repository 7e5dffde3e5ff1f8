// The placement module of the coordinator: executes the effects of the
// placement shards that this host holds, and maintains the endpoint table.

#ifndef SOURCE_COORDINATOR_PLACEMENT_MODULE_H_
#define SOURCE_COORDINATOR_PLACEMENT_MODULE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "coordinator/endpoint_observer.h"
#include "coordinator/module.h"
#include "endpoint/orders.h"
#include "keyvalue/host_list.h"
#include "placement/shard.h"

namespace hickoryloft::coordinator {

// The number of placement claims. Fixed, since the stored records depend on it.
constexpr std::uint64_t kPlacementShards = 16;

// Use on the loop's thread only.
class PlacementModule : public Module, private EndpointListener {
 public:
  // All arguments must outlive this.
  PlacementModule(Core& core,
                  endpoint::OrderService& orders,
                  keyvalue::HostList& host_list);

  std::string_view name() const override { return "placement"; }
  std::vector<ClaimName> WantedClaims() const override;
  bool ActsInOutage() const override { return false; }
  bool Ready() const override { return m_observer.complete(); }
  std::optional<ClaimName> ClaimFor(
      const wire::EnvelopeT& request) const override;
  void HandleRequest(const ClaimName& claim,
                     wire::EnvelopeT request,
                     Responder respond) override;
  bool HandleNotice(const HostId& from, const wire::EnvelopeT& notice) override;
  void OnClaimHeld(const ClaimName& claim,
                   FencingNumber fence,
                   const std::optional<std::string>& hand_over) override;
  void OnClaimLost(const ClaimName& claim) override;
  std::string PrepareHandOver(const ClaimName& claim) override;
  bool HasOpenWork(const ClaimName& claim) const override;
  void OnDocumentsChanged() override;
  void OnMembersChanged() override;
  void OnEntryConnected(
      const std::function<void(const wire::EnvelopeT&)>& send) override;
  void OnTick(MonotonicTime now) override;

 private:
  // A shard whose claim this host holds.
  struct HeldShard {
    FencingNumber m_fence = 0;
    std::unique_ptr<placement::Shard> m_shard;
    bool m_handed_over = false;
  };
  struct OpenDemand {
    ClaimName m_claim;
    wire::EnvelopeT m_request;
    Responder m_respond;
  };
  // An endpoint that was removed from the host list.
  struct DelistedEndpoint {
    endpoint::EndpointAddress m_address;
    MonotonicTime m_since{};
    bool m_inventory_requested = false;
  };
  using RecordReplies = std::vector<placement::RecordReply>;

  void OnEndpointsChanged(const EndpointSet& endpoints) override;
  void OnInventory(const EndpointId& endpoint,
                   const endpoint::InventoryReport& report,
                   MonotonicTime requested_at) override;

  std::vector<ClaimName> HeldClaims() const;
  HeldShard* FindHeldShard(const ClaimName& claim, FencingNumber fence);
  placement::Catalog CatalogOf(const ClaimName& claim) const;
  std::map<ServiceId, placement::LoadBudget> BudgetsOf(
      const ClaimName& claim) const;
  void HandleDemand(const ClaimName& claim,
                    wire::EnvelopeT request,
                    Responder respond);
  void HandleRelease(const ClaimName& claim,
                     const wire::EnvelopeT& request,
                     const Responder& respond);
  void CheckDelistedEndpoints(MonotonicTime now);
  void RemoveDelistedEndpoint(const EndpointId& endpoint);

  // Executes the effects of a shard. Before each of them, except an answer to a
  // demand, checks that the claim is still held with `fence`.
  void ExecuteEffects(const ClaimName& claim,
                      FencingNumber fence,
                      placement::Effects effects);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::SwapRecord& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::ReadRecord& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::ReadAllRecords& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::SendOrder& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::RaiseFence& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::FetchInventory& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::AnswerDemand& effect);
  void Execute(const ClaimName& claim,
               FencingNumber fence,
               placement::RequestReplicaRelease& effect);
  void ReadNextKind(const ClaimName& claim,
                    FencingNumber fence,
                    std::size_t kind_index,
                    const std::shared_ptr<RecordReplies>& replies);
  void RefuseOpenDemands(const ClaimName& claim);

  Core& m_core;
  endpoint::OrderService& m_orders;
  Logger m_log{"placement"};
  EndpointObserver m_observer;
  std::map<ClaimName, HeldShard> m_held_shards;
  std::map<placement::DemandId, OpenDemand> m_open_demands;
  placement::DemandId m_last_demand = 0;
  std::map<EndpointId, endpoint::EndpointAddress> m_last_addresses;
  std::map<EndpointId, DelistedEndpoint> m_delisted_endpoints;
  // Timers that retry the reads of recovery.
  std::map<ClaimName, std::unique_ptr<Timer>> m_recovery_retries;
  // Expired in callbacks that run after the destruction of this object.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_PLACEMENT_MODULE_H_
