// One host of the system on a platform. It serves callers, exchanges reports
// with the other hosts, and sends orders to the engines while it holds the
// placement lease.

#ifndef SOURCE_HOST_HOST_DAEMON_H_
#define SOURCE_HOST_HOST_DAEMON_H_

#include <map>
#include <memory>
#include <unordered_map>

#include "host/crash_guard.h"
#include "host/fleet_exchange.h"
#include "host/frontend.h"
#include "host/member_view.h"
#include "host/permit_exchange.h"
#include "host/placement_controller.h"
#include "host/readiness.h"
#include "http/server.h"
#include "membership/placement_lease.h"
#include "membership/registration.h"
#include "placement/replica_map.h"

namespace hickoryloft::host {

// The platform's implementations of the interfaces that the host uses.
struct PlatformInterfaces {
  keyvalue::KeyValueService& m_store;
  const fleet::FleetDecoder& m_decoder;
  const fleet::CallerProtocol& m_protocol;
  fleet::EngineControl& m_engines;
  endpoint::HttpClient& m_client;
  BufferBudget& m_answers;  // For the bytes that endpoints send.
};

// Use on the loop's thread only.
class HostDaemon {
 public:
  // Throws Error(kIo) if an address cannot be bound.
  HostDaemon(EventLoop& loop,
             HostSettings settings,
             PlatformInterfaces platform);

  // Applies the bounds of `settings`; all other settings keep the values of the
  // start.
  void Reload(const HostSettings& settings);
  // Begins a planned stop. A request is aborted only if it does not end within
  // the grace period.
  void BeginStop();

 private:
  HostSettings m_settings;
  EventLoop& m_loop;
  PlatformInterfaces m_platform;
  Incarnation m_incarnation;
  MemberView m_members;
  RandomEngine m_random;
  HostMetrics m_metrics;
  fleet::ChangeLog m_changes;
  fleet::FleetStateFeed m_knowledge;
  routing::FleetLoad m_load;
  routing::EndpointHealth m_health;
  placement::ReplicaMap m_replicas;
  placement::ModelDemand m_demand;
  std::unordered_map<ServiceId, admission::RetryBudget> m_retry_budgets;
  // For each endpoint that other hosts avoid, the sum of their witness counts.
  std::unordered_map<routing::EndpointKey, int> m_avoided_by_others;
  Readiness m_readiness;
  RequestContext m_context;
  Frontend m_frontend;
  FleetExchange m_exchange;
  PermitExchange m_permits;
  EndpointProbe m_probe;
  CrashGuard m_crash_guard;
  membership::Registration m_registration;
  membership::PlacementLease m_placement_lease;
  PlacementController m_placement_controller;
  http::Server m_callers;
  http::Server m_readiness_server;
  http::Server m_metrics_server;
  std::unique_ptr<Timer> m_tick;
  std::unique_ptr<Timer> m_members_timer;
  std::unique_ptr<Timer> m_stop_tick;
  bool m_registration_ending = false;
  bool m_registration_ended = false;
  MonotonicTime m_tick_due;
  MonotonicTime m_stop_started_at;
  bool m_stopping = false;

  RequestContext MakeContext();
  void ApplyEvacuationBound();
  void OnConfiguration();
  void OnEndpoint(const EndpointId& id);
  void OnOwnKeys();
  // The key-value service has lost what was written since an older copy.
  void OnStoreRestored(Era era);
  // Applies a change of the placement leader, and tries to obtain the lease if
  // there is none.
  void FollowPlacementLeader();
  HostId PlacementLeader() const;
  // A request started to wait: reports the demand to the placement leader at
  // once.
  void OnWaitingRequest();
  membership::FleetCounts OwnCounts();
  membership::EngineDemand CollectOwnDemand();
  void ApplyOtherHosts(const OtherHostsView& others);
  void HandleGroupDemand(const HostId& relay, membership::EngineDemand demand);
  bool ApplyPlacementUpdate(const placement::PlacementUpdate& update);
  StoreFreshness OwnStoreFreshness() const;
  // Publishes the placement state at the engines if it differs from what was
  // published last.
  void PublishPlacementState();
  bool AvoidedForPlacement(const EndpointId& id) const;
  void MeasureEvacuations();
  void Tick();
  // Updates the gauges that are computed only when the metrics are read.
  void UpdateReadMetrics();
  void ContinueStop();
};

}  // namespace hickoryloft::host

#endif  // SOURCE_HOST_HOST_DAEMON_H_
